/** Chooses replica targets for the runs of a request and resumes broken runs from their replicas. */
import {
  chooseReplicaTarget,
  REPLICA_DOMAIN_LOSS_WINDOW_MS,
} from '@limelead/choose-service-target';
import { runsSoftwareVersion, softwareVersionOf, type ServiceTarget } from '@limelead/types';
import type { AdmittedRequest } from './admitted-request.js';
import type { ForwardContext } from './context.js';
import type { RunReplica } from './dialect.js';
import type { Slot } from './slot-request.js';
import type { TargetNeed } from './target-placement.js';

/** Replicas of the runs of one request. */
export default class RunReplicas {
  /** Replica from which the next attempt can resume. */
  private usable: RunReplica | undefined;
  /** Ids of targets at which a run of the request was lost. */
  private readonly lossyTargets = new Set<string>();

  constructor(
    private readonly context: ForwardContext,
    private readonly admitted: AdmittedRequest,
  ) {}

  /** Remembers the replica of a lost run. */
  onRunLost(replica: RunReplica | undefined): void {
    this.usable = replica;
  }

  /** A target lost a run of the request; replicas go to others, if there are any. */
  avoid(targetId: string): void {
    this.lossyTargets.add(targetId);
  }

  /** Whether the next attempt can resume from a replica, as far as is known. */
  get hasUsable(): boolean {
    const target = this.usable?.target.id;
    return target !== undefined && !this.context.directory.isSuspected(target);
  }

  /** Acquires a slot at the target of the usable replica; undefined if it accepts no request. */
  acquireAtReplica(need?: TargetNeed): Slot | undefined {
    const slot = this.usable && this.context.slots.acquireAtReplica(this.usable.target.id, need);
    if (slot === undefined) {
      this.usable = undefined;
    }
    return slot;
  }

  /** Returns the usable replica if it is at the target. A replica is used at most once. */
  takeReplicaAt(target: ServiceTarget): RunReplica | undefined {
    const replica = this.usable;
    this.usable = undefined;
    return replica?.target.id === target.id ? replica : undefined;
  }

  /** Target for the replica of a run in the slot; undefined if the run is not replicated. */
  chooseReplicaTarget(slot: Slot): ServiceTarget | undefined {
    const { clock, directory, gate } = this.context;
    const { service, request, route } = this.admitted;
    const engine = this.context.readRouteTable()?.findService(service)?.engine;
    const isRelayed = slot.tracked.target.isHelper === true;
    if (isRelayed || !route.repeatable || engine?.copiesRuns !== true) {
      return undefined;
    }
    const advised = this.findAdvisedTarget(slot);
    if (advised !== undefined) {
      return advised;
    }
    const { placement } = this.context.slots;
    const advisable = gate.listAdvisable(service, directory.listUsable(service));
    const reliable = advisable.filter(({ target }) => !this.lossyTargets.has(target.id));
    const targets = reliable.some((one) => one !== slot.tracked) ? reliable : advisable;
    if (slot.isAdvised === true && slot.replicaTargetId === undefined && slot.memory) {
      // The scheduler knows the memory of all targets, of which this VM knows only its own part.
      placement.reportNoAdvisedReplica(request.requestId, targets.length - 1);
      return undefined;
    }
    const chosen = chooseReplicaTarget(targets, {
      ...placement.createReplicaCriteria(slot.memory),
      affinityKey: request.affinityKey,
      running: slot.tracked,
      isDomainSuspected: (domain) =>
        directory.isDomainSuspected(service, domain, REPLICA_DOMAIN_LOSS_WINDOW_MS),
      now: clock.now(),
    });
    if (chosen === undefined) {
      placement.reportNoReplica(
        request.requestId,
        slot.memory,
        targets.filter((one) => one !== slot.tracked),
      );
    }
    return chosen?.target;
  }

  /**
   * The replica target that the scheduler advised with the slot, unless it is leaving or suspected.
   * The scheduler spreads the replicas of all VMs over the targets. VMs that each spread only their
   * own replicas chose the same few targets, which had no room.
   */
  private findAdvisedTarget({
    tracked: running,
    replicaTargetId,
    memory,
  }: Slot): ServiceTarget | undefined {
    const { directory, slots } = this.context;
    const tracked = replicaTargetId === undefined ? undefined : directory.get(replicaTargetId);
    const isUsable =
      tracked !== undefined &&
      runsSoftwareVersion(tracked.target, softwareVersionOf(running.target)) &&
      !tracked.target.leaving &&
      !this.lossyTargets.has(tracked.target.id) &&
      !directory.isSuspected(tracked.target.id) &&
      slots.placement.isReplicaAllowedAt(tracked, memory);
    return isUsable ? tracked.target : undefined;
  }
}
