/**
 * Keeps requests that crash targets away from further targets. Quarantines are written to
 * the platform's store, so that VMs know them before they become ready, also after a
 * restart of the whole fleet.
 */
import {
  QUARANTINE_MS,
  RequestGuard,
  type Quarantine,
  type RequestIdentity,
} from '@limelead/quarantine-requests';
import type { TargetConnections } from '@limelead/target-connections';
import type { Millis, ServiceTarget } from '@limelead/types';
import * as E from 'fp-ts/lib/Either.js';
import type { FleetComponent, FleetComponentContext } from './fleet-component.js';
import { quarantineKeyOf } from './store-keys.js';
import encodeQuarantine from './quarantine-item.js';
import CrashDetector from './crash-detector.js';

/**
 * Delay before a failed write is retried. The store answers within milliseconds or is unavailable
 * for longer.
 */
const WRITE_RETRY_DELAY_MS: Millis = 2_000;

/** A component whose guard decides before each attempt whether a request may be sent. */
export interface QuarantineComponent extends FleetComponent {
  guard: RequestGuard;
  /** Handles that the registry removed a target. */
  onTargetGone(target: ServiceTarget): void;
  /** Handles that this VM or a peer found a target lost. */
  onTargetDoubted(id: string): void;
}

/** What the component needs besides its context. */
export interface QuarantineComponentOptions {
  connections: TargetConnections;
  countVms(): number;
  /** Whether this VM connected to any target after that time. */
  hasConnectedSince(sinceMs: Millis): boolean;
}

/** Creates the component. While no request is suspected, it makes no calls and sends nothing. */
export default function createQuarantineComponent(
  context: FleetComponentContext,
  options: QuarantineComponentOptions,
): QuarantineComponent {
  return new QuarantineController(context, options);
}

class QuarantineController implements QuarantineComponent {
  readonly guard: RequestGuard;
  /** The quarantined requests in the store that were applied to the guard. */
  private storedRequests: ReadonlySet<RequestIdentity> = new Set();
  private processedRevision = 0;

  constructor(
    private readonly context: FleetComponentContext,
    { connections, countVms, hasConnectedSince }: QuarantineComponentOptions,
  ) {
    const { clock, timers, random, log, metrics, directory, platform } = context;
    const dialect = platform.targetDialect;
    const crashDetector = new CrashDetector({
      ...{ clock, timers, directory, connections, dialect, log, hasConnectedSince },
    });
    this.guard = new RequestGuard({
      ...{ clock, timers, random, log, metrics, countVms },
      checkTarget: (target, brokeAtMs) => crashDetector.checkTarget(target, brokeAtMs),
      hasEnded: (target, sinceMs) => crashDetector.hasEnded(target, sinceMs),
      countTargets: (service) => directory.listUsable(service).length,
      hasRespondedSince: (target, sinceMs) => crashDetector.hasAnsweredSince(target, sinceMs),
      publish: (update, from) => context.readExchange()?.publishQuarantineUpdate(update, from),
      storeQuarantine: (request, quarantine) =>
        this.storeWithRetry(request, quarantine, clock.now() + QUARANTINE_MS),
      onQuarantineRefuted: (request) => void this.remove(request),
    });
    metrics.gauge('limelead_quarantined_requests', () => this.guard.quarantinedCount);
    metrics.gauge('limelead_requests_waiting_for_trials', () => this.guard.waitingCount);
  }

  start(): void {
    this.onStoreViewChange();
  }

  onTargetGone(target: ServiceTarget): void {
    if (!target.leaving) {
      this.guard.onTargetEnded(target);
    }
  }

  onTargetDoubted(id: string): void {
    const target = this.context.directory.get(id)?.target;
    if (target !== undefined) {
      this.guard.onTargetDoubted(target);
    }
  }

  /** Applies added and removed quarantines to the guard. */
  onStoreViewChange(): void {
    const { storeView } = this.context;
    if (!storeView.isComplete || storeView.revision === this.processedRevision) {
      return;
    }
    this.processedRevision = storeView.revision;
    const stored = storeView.listQuarantines();
    for (const [request, quarantine] of stored) {
      if (!this.storedRequests.has(request)) {
        this.guard.quarantine(request, quarantine);
      }
    }
    for (const request of this.storedRequests) {
      if (!stored.has(request)) {
        this.guard.release(request);
      }
    }
    this.storedRequests = new Set(stored.keys());
  }

  handOver(): Promise<void> {
    return Promise.resolve();
  }

  /**
   * Writes a quarantine and retries failed writes until `untilMs`. Resolves after the first
   * attempt. The store removes the item when its lease ends.
   */
  private async storeWithRetry(
    request: RequestIdentity,
    quarantine: Quarantine,
    untilMs: Millis,
  ): Promise<void> {
    const { clock, timers, log } = this.context;
    const { service } = quarantine;
    const reason = await this.write(request, quarantine);
    if (reason === undefined) {
      log.write('quarantine-stored', { identity: request, service });
      return;
    }
    log.write('quarantine-write-failed', { identity: request, service, reason });
    if (clock.now() + WRITE_RETRY_DELAY_MS < untilMs) {
      timers.after(
        WRITE_RETRY_DELAY_MS,
        () => void this.storeWithRetry(request, quarantine, untilMs),
      );
    }
  }

  /** Returns the reason of a failure; undefined if the store holds the quarantine. */
  private async write(
    request: RequestIdentity,
    quarantine: Quarantine,
  ): Promise<string | undefined> {
    const { storeItems } = this.context.platform;
    const key = quarantineKeyOf(request);
    if (this.context.storeView.has(key)) {
      return undefined;
    }
    const granted = await storeItems.grantLease(QUARANTINE_MS)();
    if (E.isLeft(granted)) {
      return granted.left.message;
    }
    const value = encodeQuarantine(quarantine);
    const { lease } = granted.right;
    const written = await storeItems.write(
      [{ key, revision: 0 }],
      [{ kind: 'put', key, value, lease }],
    )();
    if (E.isLeft(written)) {
      return written.left.message;
    }
    // Another VM may have written it at the same moment.
    return written.right.kind === 'lease-gone' ? 'the lease is gone' : undefined;
  }

  private async remove(request: RequestIdentity): Promise<void> {
    const { platform, log } = this.context;
    const removed = await platform.storeItems.write(
      [],
      [{ kind: 'remove', key: quarantineKeyOf(request) }],
    )();
    if (E.isLeft(removed)) {
      const reason = removed.left.message;
      log.write('quarantine-write-failed', { identity: request, reason });
    }
  }
}
