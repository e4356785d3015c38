/**
 * The part that keeps requests that end their targets from further ones. What is proved
 * stands in the platform's store, one write for each such request: a VM that starts learns it before
 * it is ready, and so does a fleet that lost power at once.
 */
import {
  QUARANTINE_MS,
  RequestGuard,
  type Quarantine,
  type RequestIdentity,
} from '@limelead/quarantine-requests';
import type { TargetConnections } from '@limelead/target-connections';
import type { Millis } from '@limelead/types';
import * as E from 'fp-ts/lib/Either.js';
import type { FleetPart, FleetPartContext } from './fleet-part.js';
import { quarantineKeyOf } from './own-keys.js';
import writeQuarantine from './quarantine-item.js';
import TargetEnds from './target-ends.js';

/** Time until a write that failed is tried again: the store answers in milliseconds or is away. */
const WRITE_AGAIN_MS: Millis = 2_000;

/** A part that also says before each send whether it may go on. */
export interface QuarantinePart extends FleetPart {
  guard: RequestGuard;
}

/** What the part needs beside the context. */
export interface QuarantinePartOptions {
  connections: TargetConnections;
  countVms(): number;
}

/** Creates the part. Without evidence against any request it makes no calls and tells nothing. */
export default function createQuarantinePart(
  context: FleetPartContext,
  options: QuarantinePartOptions,
): QuarantinePart {
  return new QuarantineParts(context, options);
}

class QuarantineParts implements QuarantinePart {
  readonly guard: RequestGuard;
  /** What the store holds, as far as this VM took it. */
  private stored: ReadonlySet<RequestIdentity> = new Set();
  private knownRevision = 0;

  constructor(
    private readonly context: FleetPartContext,
    { connections, countVms }: QuarantinePartOptions,
  ) {
    const { clock, timers, random, log, metrics, directory, platform } = context;
    const dialect = platform.targetDialect;
    const ends = new TargetEnds({ timers, directory, connections, dialect });
    this.guard = new RequestGuard({
      ...{ clock, timers, random, log, metrics, countVms },
      hasEnded: (target, brokeAtMs) => ends.hasEnded(target, brokeAtMs),
      wasHeardSince: (target, sinceMs) => ends.wasHeardSince(target, sinceMs),
      tell: (news, from) => context.readExchange()?.publishQuarantineUpdate(news, from),
      onProved: (request, quarantine) =>
        this.keep(request, quarantine, clock.now() + QUARANTINE_MS),
      onRefuted: (request) => void this.forget(request),
    });
    metrics.gauge('limelead_quarantined_requests', () => this.guard.quarantined);
    metrics.gauge('limelead_requests_waiting_for_trials', () => this.guard.waiting);
  }

  start(): void {
    this.onKnowledge();
  }

  /** The store may hold more, or less, than before. */
  onKnowledge(): void {
    const { knowledge } = this.context;
    if (!knowledge.isComplete || knowledge.revision === this.knownRevision) {
      return;
    }
    this.knownRevision = knowledge.revision;
    const stored = knowledge.readQuarantines();
    for (const [request, quarantine] of stored) {
      if (!this.stored.has(request)) {
        this.guard.quarantine(request, quarantine);
      }
    }
    for (const request of this.stored) {
      if (!stored.has(request)) {
        this.guard.release(request);
      }
    }
    this.stored = new Set(stored.keys());
  }

  handOver(): Promise<void> {
    return Promise.resolve();
  }

  /**
   * Writes it, again and again where it can't be written; resolves after the first time. The item
   * goes by itself when its lease ends.
   */
  private async keep(
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
    if (clock.now() + WRITE_AGAIN_MS < untilMs) {
      timers.after(WRITE_AGAIN_MS, () => void this.keep(request, quarantine, untilMs));
    }
  }

  /** Why it does not stand there; undefined where it does. */
  private async write(
    request: RequestIdentity,
    quarantine: Quarantine,
  ): Promise<string | undefined> {
    const { storeItems } = this.context.platform;
    const key = quarantineKeyOf(request);
    if (this.context.knowledge.has(key)) {
      return undefined;
    }
    const granted = await storeItems.grantLease(QUARANTINE_MS)();
    if (E.isLeft(granted)) {
      return granted.left.message;
    }
    const value = writeQuarantine(quarantine);
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

  private async forget(request: RequestIdentity): Promise<void> {
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
