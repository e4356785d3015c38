/**
 * Which versions of a service are in force. A version that appears beside those in force
 * is under trial: an order comes before its targets, and a replacement without an order
 * keeps the version.
 */
import type { Clock, Millis, ServiceTarget } from '@limelead/types';
import type { AgreedStep, StoredOrder } from './types.js';

/**
 * Time after which a version that nobody ordered counts as a plain replacement. News of
 * an order reach every VM that is in touch within a few seconds.
 */
const UNORDERED_ACTIVATION_DELAY_MS = 5_000;

/**
 * Time for which a version stays blocked behind the end of its roll-out: replaced targets
 * stop at once, those of a version that was taken back drain within it.
 */
const BLOCK_AFTER_END_MS = 30_000;

/** What a version of a service may be given. */
export type VersionEligibility = 'in-force' | 'under-trial' | 'blocked' | 'unordered';

/** What is known of one service. */
export interface ServiceVersions {
  order?: StoredOrder;
  agreed?: AgreedStep;
  /** Versions, and when each counts as in force without an order. */
  activeFromMs: Map<string, Millis>;
  /** Versions that stood on an order. */
  everOrdered: Set<string>;
  /** Since when the agreed step is final and says no more than that targets end. */
  endedAtMs?: Millis;
  /** True where every target may be sent to, and nothing has to be counted. */
  hasSingleVersion: boolean;
}

/** The version of a target; empty where it tells none. */
export function versionOf({ version }: ServiceTarget): string {
  return version ?? '';
}

/** Holds the versions of all services. */
export default class VersionTable {
  private readonly services = new Map<string, ServiceVersions>();

  constructor(private readonly clock: Clock) {}

  /** What is known of a service; undefined before its first target. */
  get(service: string): ServiceVersions | undefined {
    return this.services.get(service);
  }

  /** Takes what the store holds now. */
  update(
    targets: readonly ServiceTarget[],
    orders: readonly StoredOrder[],
    steps: ReadonlyMap<string, AgreedStep>,
  ): void {
    const now = this.clock.now();
    const versions = new Map<string, Set<string>>();
    for (const target of targets) {
      const present = versions.get(target.service) ?? new Set();
      versions.set(target.service, present.add(versionOf(target)));
    }
    for (const { order } of orders) {
      versions.set(order.service, versions.get(order.service) ?? new Set());
    }
    for (const [service, present] of versions) {
      const order = orders.find((standing) => standing.order.service === service);
      this.takeService(service, present, { order, agreed: steps.get(service), now });
    }
  }

  /** What a version may be given now. */
  eligibilityOf(service: string, version: string): VersionEligibility {
    const known = this.services.get(service);
    if (known === undefined) {
      return 'in-force';
    }
    const { order, agreed } = known;
    const isOrdered = order?.order.version === version;
    if (isOrdered && agreed?.order !== order.revision) {
      return 'under-trial';
    }
    const isOver =
      known.endedAtMs !== undefined && this.clock.now() - known.endedAtMs >= BLOCK_AFTER_END_MS;
    const byStep =
      agreed === undefined || isOver
        ? undefined
        : eligibilityByStep(agreed, version, order !== undefined);
    return byStep ?? this.useWithoutOrder(known, version);
  }

  private takeService(
    service: string,
    present: ReadonlySet<string>,
    { order, agreed, now }: Pick<ServiceVersions, 'order' | 'agreed'> & { now: Millis },
  ): void {
    const known = this.services.get(service);
    const admittedAtMs = admit(known?.activeFromMs ?? new Map(), present, order, now);
    const isPlain = order === undefined && agreed === undefined && present.size <= 1;
    const ordered = new Set(known?.everOrdered);
    if (order !== undefined) {
      ordered.add(order.order.version);
    }
    const endedAtMs = hasEnded(order, agreed) ? (known?.endedAtMs ?? now) : undefined;
    this.services.set(service, {
      order,
      agreed,
      activeFromMs: admittedAtMs,
      everOrdered: ordered,
      endedAtMs,
      hasSingleVersion: isPlain,
    });
  }

  private useWithoutOrder(
    { order, agreed, everOrdered, activeFromMs }: ServiceVersions,
    version: string,
  ): VersionEligibility {
    if (agreed?.step === 'completed' && agreed.version === version) {
      return 'in-force';
    }
    // A version whose order another one replaced was never found good.
    if (order !== undefined && everOrdered.has(version)) {
      return 'blocked';
    }
    const admittedMs = activeFromMs.get(version);
    return admittedMs !== undefined && admittedMs <= this.clock.now() ? 'in-force' : 'unordered';
  }
}

/** Versions that are there at the first look are in force, but for the one on order. */
function admit(
  admittedAtMs: ReadonlyMap<string, Millis>,
  present: ReadonlySet<string>,
  order: StoredOrder | undefined,
  now: Millis,
): Map<string, Millis> {
  const admitAtMs = admittedAtMs.size === 0 ? now : now + UNORDERED_ACTIVATION_DELAY_MS;
  const kept = [...admittedAtMs].filter(([version]) => present.has(version));
  const fresh = [...present]
    .filter((version) => !admittedAtMs.has(version) && order?.order.version !== version)
    .map((version): [string, Millis] => [version, admitAtMs]);
  const admitted = new Map([...kept, ...fresh]);
  // Where all targets are gone, the versions that were there stay those in force.
  return admitted.size > 0 ? admitted : new Map(admittedAtMs);
}

/** A version that was taken back stays so while its order stands. */
function hasEnded(order: StoredOrder | undefined, agreed: AgreedStep | undefined): boolean {
  return agreed?.step === 'completed' || (agreed?.step === 'rolled_back' && order === undefined);
}

/** Undefined where the step says nothing of the version. */
function eligibilityByStep(
  { step, version: ordered, replaces }: AgreedStep,
  version: string,
  isOrdered: boolean,
): VersionEligibility | undefined {
  if (version === ordered) {
    if (step === 'completed') {
      return 'in-force';
    }
    return step === 'rolled_back' || !isOrdered ? 'blocked' : 'under-trial';
  }
  if (!replaces.includes(version)) {
    return undefined;
  }
  return step === 'completed' ? 'blocked' : 'in-force';
}
