/**
 * Tracks which versions of a service are active. A new version is under trial if an order names it;
 * a replacement without an order keeps the version.
 */
import { softwareVersionOf, type Clock, type Millis, type ServiceTarget } from '@limelead/types';
import type { AgreedStep, StoredOrder } from './types.js';

/**
 * Delay before a version without an order becomes active, so that an order stored before its
 * targets reaches every VM first.
 */
const UNORDERED_ACTIVATION_DELAY_MS = 5_000;

/**
 * Time for which a version stays blocked after its roll-out ends. Replaced targets stop at once;
 * those of a version that was rolled back drain within this time.
 */
const BLOCK_AFTER_END_MS = 30_000;

/** Whether requests may be sent to a version. `unordered` versions become active after a delay. */
export type VersionEligibility = 'active' | 'under-trial' | 'blocked' | 'unordered';

/** Versions, order and agreed step of one service. */
export interface ServiceVersions {
  order?: StoredOrder;
  agreed?: AgreedStep;
  /** When each version without an order becomes active. */
  activeFromMs: Map<string, Millis>;
  /** Versions that were ever named by an order. */
  everOrdered: Set<string>;
  /** When the agreed step became final with no further effect than that targets stop. */
  endedAtMs?: Millis;
  /** True if the service has one version and no roll-out, so that every target may be used. */
  hasSingleVersion: boolean;
}

/** Holds the versions of all services. */
export default class VersionTable {
  private readonly services = new Map<string, ServiceVersions>();

  constructor(private readonly clock: Clock) {}

  /** Returns the versions of a service; undefined before its first target. */
  get(service: string): ServiceVersions | undefined {
    return this.services.get(service);
  }

  /** Applies the current targets, orders and steps from the store. */
  update(
    targets: readonly ServiceTarget[],
    orders: readonly StoredOrder[],
    steps: ReadonlyMap<string, AgreedStep>,
  ): void {
    const now = this.clock.now();
    const versions = new Map<string, Set<string>>();
    for (const target of targets) {
      const present = versions.get(target.service) ?? new Set();
      versions.set(target.service, present.add(softwareVersionOf(target)));
    }
    for (const { order } of orders) {
      versions.set(order.service, versions.get(order.service) ?? new Set());
    }
    for (const [service, present] of versions) {
      const order = orders.find((stored) => stored.order.service === service);
      this.updateService(service, present, { order, agreed: steps.get(service), now });
    }
  }

  /** Returns whether requests may be sent to a version now. */
  eligibilityOf(service: string, version: string): VersionEligibility {
    const known = this.services.get(service);
    if (known === undefined) {
      return 'active';
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
    return byStep ?? this.eligibilityWithoutOrder(known, version);
  }

  private updateService(
    service: string,
    present: ReadonlySet<string>,
    { order, agreed, now }: Pick<ServiceVersions, 'order' | 'agreed'> & { now: Millis },
  ): void {
    const known = this.services.get(service);
    const activeFromMs = activateVersions(known?.activeFromMs ?? new Map(), present, order, now);
    const hasSingleVersion = order === undefined && agreed === undefined && present.size <= 1;
    const everOrdered = new Set(known?.everOrdered);
    if (order !== undefined) {
      everOrdered.add(order.order.version);
    }
    const endedAtMs = hasEnded(order, agreed) ? (known?.endedAtMs ?? now) : undefined;
    this.services.set(service, {
      order,
      agreed,
      activeFromMs,
      everOrdered,
      endedAtMs,
      hasSingleVersion,
    });
  }

  private eligibilityWithoutOrder(
    { order, agreed, everOrdered, activeFromMs }: ServiceVersions,
    version: string,
  ): VersionEligibility {
    if (agreed?.step === 'completed' && agreed.version === version) {
      return 'active';
    }
    // A version whose order was superseded was never confirmed as good.
    if (order !== undefined && everOrdered.has(version)) {
      return 'blocked';
    }
    const activeAtMs = activeFromMs.get(version);
    return activeAtMs !== undefined && activeAtMs <= this.clock.now() ? 'active' : 'unordered';
  }
}

/** Versions present at the first update are active, except the one with an order. */
function activateVersions(
  activeFromMs: ReadonlyMap<string, Millis>,
  present: ReadonlySet<string>,
  order: StoredOrder | undefined,
  now: Millis,
): Map<string, Millis> {
  const activeAtMs = activeFromMs.size === 0 ? now : now + UNORDERED_ACTIVATION_DELAY_MS;
  const kept = [...activeFromMs].filter(([version]) => present.has(version));
  const fresh = [...present]
    .filter((version) => !activeFromMs.has(version) && order?.order.version !== version)
    .map((version): [string, Millis] => [version, activeAtMs]);
  const activated = new Map([...kept, ...fresh]);
  // If all targets are gone, the previous versions stay active.
  return activated.size > 0 ? activated : new Map(activeFromMs);
}

/** A rolled-back version stays blocked while its order exists. */
function hasEnded(order: StoredOrder | undefined, agreed: AgreedStep | undefined): boolean {
  return agreed?.step === 'completed' || (agreed?.step === 'rolled_back' && order === undefined);
}

/** Returns undefined if the step does not concern the version. */
function eligibilityByStep(
  { step, version: ordered, replaces }: AgreedStep,
  version: string,
  isOrdered: boolean,
): VersionEligibility | undefined {
  if (version === ordered) {
    if (step === 'completed') {
      return 'active';
    }
    return step === 'rolled_back' || !isOrdered ? 'blocked' : 'under-trial';
  }
  if (!replaces.includes(version)) {
    return undefined;
  }
  return step === 'completed' ? 'blocked' : 'active';
}
