/** The VMs that use a queued service, and when each was told the state of its queue. */
import type { Clock, Millis } from '@limelead/types';
import type { QueueState } from './queue-messages.js';
import type { QueueFleet } from './queue-ports.js';

/** Time for which an announcement holds, and the interval of its renewal. */
export const STATE_TTL_MS: Millis = 2_000;
const RENEWAL_MS: Millis = 1_000;
/** Time for which a VM is told the state of the queue after its last message. */
const HEARD_TTL_MS: Millis = 10_000;

/** Dependencies of `QueueAudience`. */
export interface QueueAudienceOptions {
  service: string;
  clock: Clock;
  fleet: Pick<QueueFleet, 'send'>;
}

interface HeardVm {
  heardAtMs: Millis;
  /** Time of the last announcement to the VM. */
  toldAtMs: Millis;
}

/** Announces the state of one queue to the VMs that report calls. */
export default class QueueAudience {
  private readonly vms = new Map<string, HeardVm>();

  constructor(private readonly options: QueueAudienceOptions) {}

  /** Records a message of a VM, and tells it that the service is queued unless it knows. */
  hear(vm: string, isQueued: boolean): void {
    const toldAtMs = this.vms.get(vm)?.toldAtMs ?? -Infinity;
    this.vms.set(vm, { heardAtMs: this.now, toldAtMs });
    if (isQueued && this.now - toldAtMs >= RENEWAL_MS) {
      this.announce(vm, isQueued);
    }
  }

  /** Tells one VM the state of the queue. */
  announce(vm: string, isQueued: boolean): void {
    const { service, fleet } = this.options;
    const known = this.vms.get(vm);
    if (known !== undefined) {
      known.toldAtMs = this.now;
    }
    fleet.send(vm, { kind: 'queue-state', ...toQueueState(service, isQueued) });
  }

  /** Tells the state to all VMs. */
  announceToAll(isQueued: boolean): void {
    this.vms.forEach((_, vm) => this.announce(vm, isQueued));
  }

  /** Renews the announcements that are due. */
  renew(): void {
    for (const [vm, { heardAtMs, toldAtMs }] of this.vms) {
      if (this.now - heardAtMs > HEARD_TTL_MS) {
        this.vms.delete(vm);
      } else if (this.now - toldAtMs >= RENEWAL_MS) {
        this.announce(vm, true);
      }
    }
  }

  forget(vm: string): void {
    this.vms.delete(vm);
  }

  clear(): void {
    this.vms.clear();
  }

  private get now(): Millis {
    return this.options.clock.now();
  }
}

/** The state of a queue as it is announced. */
export function toQueueState(service: string, isQueued: boolean): QueueState {
  return { service, isQueued, ttlMs: isQueued ? STATE_TTL_MS : 0 };
}
