/** Where copies of a run's memory are kept, and which of them a broken run goes on from. */
import {
  chooseReplicaTarget,
  REPLICA_DOMAIN_LOSS_WINDOW_MS,
} from '@limelead/choose-service-target';
import type { ServiceTarget } from '@limelead/types';
import type { AdmittedRequest } from './admitted-request.js';
import type { ForwardContext } from './context.js';
import type { RunCopy } from './dialect.js';
import type { Slot } from './slot-request.js';

/** The copies of one request's runs. */
export default class RunCopies {
  /** The copy that the next attempt may go on from. */
  private usable: RunCopy | undefined;

  constructor(
    private readonly context: ForwardContext,
    private readonly admitted: AdmittedRequest,
  ) {}

  /** The run that was copied is lost. */
  noteLost(copy: RunCopy | undefined): void {
    this.usable = copy;
  }

  /** A slot at the target that keeps a usable copy, where it takes work. */
  acquireAtReplica(): Slot | undefined {
    const slot = this.usable && this.context.slots.acquireAtReplica(this.usable.keeper.id);
    if (slot === undefined) {
      this.usable = undefined;
    }
    return slot;
  }

  /** The usable copy at that target; a copy serves once. */
  use(target: ServiceTarget): RunCopy | undefined {
    const copy = this.usable;
    this.usable = undefined;
    return copy?.keeper.id === target.id ? copy : undefined;
  }

  /** Where the copies of a run at that slot go; undefined where the engines make none. */
  chooseKeeper(slot: Slot): ServiceTarget | undefined {
    const { clock, directory, gate } = this.context;
    const { service, request, route } = this.admitted;
    const engine = this.context.readTable()?.findService(service)?.engine;
    if (!route.repeatable || engine?.copiesRuns !== true) {
      return undefined;
    }
    const advised = this.findAdvised(slot);
    if (advised !== undefined) {
      return advised;
    }
    return chooseReplicaTarget(gate.listAdvisable(service, directory.listUsable(service)), {
      affinityKey: request.affinityKey,
      running: slot.tracked,
      isDomainSuspected: (domain) =>
        directory.isDomainSuspected(service, domain, REPLICA_DOMAIN_LOSS_WINDOW_MS),
      now: clock.now(),
    })?.target;
  }

  /**
   * The keeper that the scheduler advised with the slot, where this VM knows nothing
   * against it. VMs that spread their own copies only met at few keepers, which had no
   * room: with a third of the engines gone 877,000 prompt tokens of a minute were read
   * again, 693,000 with advice (one play each, beside other changes).
   */
  private findAdvised({ copyTo }: Slot): ServiceTarget | undefined {
    const { directory } = this.context;
    const target = copyTo === undefined ? undefined : directory.get(copyTo)?.target;
    const isUsable = target !== undefined && !target.leaving && !directory.isSuspected(target.id);
    return isUsable ? target : undefined;
  }
}
