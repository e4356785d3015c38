/** Applies memory, pace and request bodies to the choice of a target, and counts what is placed. */
import {
  hasRoom,
  hasRoomForReplica,
  type ReplicaTargetCriteria,
  type ServiceTargetCriteria,
} from '@limelead/choose-service-target';
import {
  getPresentPace,
  type TargetDirectory,
  type TrackedServiceTarget,
} from '@limelead/track-service-targets';
import type { Clock } from '@limelead/types';
import type { RunMemory } from './run-memory.js';
import TargetBodyBytes from './target-body-bytes.js';

/** What a request needs at a target besides a slot. */
export interface TargetNeed {
  requestId: string;
  /** Undefined if its size is unknown. */
  memory?: RunMemory;
  /** Length of the request body; 0 by default. */
  bodyBytes?: number;
  /** Software version to which a stream keeps; undefined while any version may run it. */
  softwareVersion?: string;
  /**
   * Id of the target whose silent run the slot is to replace; undefined without one. The run is not
   * moved to a target that was lost and has not answered since.
   */
  replaces?: string;
}

/** A request or replica that memory, pace or bodies kept from its targets. */
export interface PlacementLimit {
  requestId: string;
  reason: 'memory' | 'pace' | 'body-bytes';
  outcome: 'waits' | 'last-resort' | 'no-replica';
  /** Number of targets that were considered. */
  candidates: number;
}

export interface TargetPlacementOptions {
  clock: Clock;
  directory: TargetDirectory;
  /** Bytes of request bodies that this VM may have in progress at one target; unlimited by default. */
  maxBodyBytes?: () => number;
  /** False if the present pace of targets does not count, only their slowness. Default: true. */
  placesByMemoryAndPace?: boolean;
  /** Called when placement is limited. */
  onPlacementLimited?: (limit: PlacementLimit) => void;
}

type StateCriteria = Pick<ServiceTargetCriteria, 'paceOf' | 'requestsAt' | 'memory'>;

/** Placement of one VM's requests. */
export default class TargetPlacement {
  private readonly bodies: TargetBodyBytes;

  constructor(private readonly options: TargetPlacementOptions) {
    this.bodies = new TargetBodyBytes(options.maxBodyBytes ?? (() => Infinity));
  }

  /** Criteria for the target of a request. */
  createCriteria(memory: RunMemory | undefined): StateCriteria {
    const { directory } = this.options;
    return {
      ...this.createReplicaCriteria(memory),
      requestsAt: (tracked) => directory.advertisedLoads.requestsAt(tracked),
    };
  }

  /** Criteria for the target of a replica. */
  createReplicaCriteria(
    memory: RunMemory | undefined,
  ): Pick<ReplicaTargetCriteria, 'paceOf' | 'memory'> {
    const { clock, directory, placesByMemoryAndPace = true } = this.options;
    return {
      paceOf: placesByMemoryAndPace ? (tracked) => getPresentPace(directory, tracked) : undefined,
      memory: memory && {
        capacityTokens: memory.capacityTokens,
        needTokens: memory.tokens,
        marginTokens: directory.tokens.usualRunTokens(memory.service) || memory.tokens,
        heldAt: ({ target }) => directory.tokens.at(target.id, target.service),
        isLastResort: clock.now() >= memory.lastResortAtMs,
      },
    };
  }

  /** Targets at which the body of the request stays within the bound. */
  filterByBodies(
    targets: TrackedServiceTarget[],
    { bodyBytes = 0 }: TargetNeed,
  ): TrackedServiceTarget[] {
    return this.bodies.isEmpty
      ? targets
      : targets.filter(({ target }) => this.bodies.hasRoom(target.id, bodyBytes));
  }

  /** Whether memory and bodies allow the request at a target; memory does as the last resort. */
  isAllowedAt(tracked: TrackedServiceTarget, { memory, bodyBytes = 0 }: Partial<TargetNeed>) {
    const criteria = this.createReplicaCriteria(memory).memory;
    const fits = criteria === undefined || criteria.isLastResort || hasRoom(criteria, tracked);
    return fits && this.bodies.hasRoom(tracked.target.id, bodyBytes);
  }

  /** Whether a replica is allowed at a target that a scheduler advised. */
  isReplicaAllowedAt(tracked: TrackedServiceTarget, memory: RunMemory | undefined): boolean {
    const criteria = this.createReplicaCriteria(memory).memory;
    return criteria === undefined || hasRoomForReplica(criteria, tracked);
  }

  /**
   * Counts a placed request, and reports it if its target has no room. Returns a function that ends
   * the count of its body; its slot and memory are counted by the directory.
   */
  recordPlaced(
    tracked: TrackedServiceTarget,
    { requestId = '', memory, bodyBytes = 0 }: Partial<TargetNeed>,
  ): () => void {
    const criteria = this.createReplicaCriteria(memory).memory;
    if (memory !== undefined && criteria !== undefined) {
      if (!hasRoom(criteria, tracked)) {
        this.report({ requestId, reason: 'memory', outcome: 'last-resort', candidates: 1 });
      }
      this.options.directory.tokens.recordRunTokens(memory.service, memory.tokens);
    }
    return this.bodies.hold(tracked.target.id, bodyBytes);
  }

  /** Reports a request that waits although there are targets, if memory or bodies are the reason. */
  reportWaiting(need: TargetNeed, targets: TrackedServiceTarget[]): void {
    const { requestId, memory } = need;
    const candidates = targets.length;
    if (candidates === 0) {
      return;
    }
    const allowed = this.filterByBodies(targets, need);
    const criteria = this.createReplicaCriteria(memory).memory;
    if (allowed.length === 0) {
      this.report({ requestId, reason: 'body-bytes', outcome: 'waits', candidates });
    } else if (criteria !== undefined && !allowed.some((one) => hasRoom(criteria, one))) {
      this.report({ requestId, reason: 'memory', outcome: 'waits', candidates });
    }
  }

  /** Reports a run that waits since the scheduler knows no target with room. */
  reportNoRoom(requestId: string, candidates: number): void {
    this.report({ requestId, reason: 'memory', outcome: 'waits', candidates });
  }

  /** Reports a run without a replica, if memory or pace is the reason. */
  reportNoReplica(
    requestId: string,
    memory: RunMemory | undefined,
    targets: TrackedServiceTarget[],
  ): void {
    const criteria = this.createReplicaCriteria(memory).memory;
    const hasRoomAnywhere =
      criteria === undefined || targets.some((one) => hasRoomForReplica(criteria, one));
    if (targets.length > 0) {
      const reason = hasRoomAnywhere ? 'pace' : 'memory';
      this.report({ requestId, reason, outcome: 'no-replica', candidates: targets.length });
    }
  }

  /** Reports a run whose target a scheduler advised without a replica target. */
  reportNoAdvisedReplica(requestId: string, candidates: number): void {
    this.report({ requestId, reason: 'memory', outcome: 'no-replica', candidates });
  }

  private report(limit: PlacementLimit): void {
    this.options.onPlacementLimited?.(limit);
  }
}
