/** Simulates VMs with their call queues, and targets with few slots, on a simulated clock. */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { CallQueueOptions } from './call-queue.js';
import type { QueueMessage } from './queue-messages.js';
import SimulatedClock from './simulated-clock.fixture.js';
import SimulatedTarget from './simulated-target.fixture.js';
import Vm, { type SimulatedCall } from './simulated-vm.fixture.js';

/** What a VM does to decide whether a call may be sent. */
export type VmPolicy = 'as now' | 'own limit' | 'queue';

export interface FleetOptions {
  vms: number;
  targets: number;
  seed: number;
  policy?: VmPolicy;
  linkMs?: number;
  workMs?: number;
  /** Share of the time in which a target is slow for half a second. */
  slowShare?: number;
  queue?: Partial<CallQueueOptions>;
}

/** The VMs, their links and the targets. */
export default class Fleet {
  readonly clock = new SimulatedClock();
  readonly targets: SimulatedTarget[];
  readonly vms: Vm[];
  readonly calls: SimulatedCall[] = [];
  readonly log: Record<string, unknown>[] = [];
  messages: { from: string; to: string; message: QueueMessage }[] = [];
  /** Whether a message is lost on its way. */
  isLost: (from: string, to: string, message: QueueMessage) => boolean = () => false;
  readonly linkMs: number;
  readonly workMs: number;
  upCount: number;
  private lastId = 0;
  private readonly vmByName: ReadonlyMap<string, Vm>;
  private readonly loadGenerator;
  private readonly generator;

  constructor(readonly options: FleetOptions) {
    this.linkMs = options.linkMs ?? 0.5;
    this.workMs = options.workMs ?? 61;
    this.loadGenerator = xoroshiro128plus(options.seed);
    this.generator = xoroshiro128plus(options.seed + 1_000);
    this.targets = Array.from(
      { length: options.targets },
      (_, i) => new SimulatedTarget(this, `t${i}`),
    );
    this.vms = Array.from({ length: options.vms }, (_, i) => new Vm(this, `vm${i}`));
    this.vmByName = new Map(this.vms.map((vm) => [vm.name, vm]));
    this.upCount = this.vms.length;
    this.targets.forEach((target) => this.alternate(target));
  }

  get now(): number {
    return this.clock.now();
  }

  draw(): number {
    return uniformFloat64(this.generator);
  }

  /** Draws for arrivals and slow times, so that all ways to serve calls get the same load. */
  private drawLoad(): number {
    return uniformFloat64(this.loadGenerator);
  }

  nextId(): number {
    this.lastId += 1;
    return this.lastId;
  }

  /** The first VM that is up is the queue VM; there is none where each VM is on its own. */
  chooseQueueVm: (asking?: Vm) => string | undefined = () => {
    const { policy = 'queue' } = this.options;
    return policy !== 'queue' ? undefined : this.vms.find(({ isUp }) => isUp)?.name;
  };

  send(from: Vm, to: string, message: QueueMessage): void {
    this.messages.push({ from: from.name, to, message });
    if (!this.isLost(from.name, to, message)) {
      this.clock.after(this.linkMs, () => {
        const vm = this.vmByName.get(to);
        if (vm?.isUp === true && from.isUp) {
          vm.queue.onMessage(from.name, message);
        }
      });
    }
  }

  /** Ends a VM; its links break. */
  kill(vm: Vm): void {
    vm.isUp = false;
    this.upCount -= 1;
    this.vms.filter(({ isUp }) => isUp).forEach((other) => other.queue.onVmLost(vm.name));
  }

  arrive(vm: Vm, call: Partial<SimulatedCall> = {}): SimulatedCall {
    const id = this.nextId();
    const created: SimulatedCall = {
      ...{ id, requestId: `r${id}`, rank: 1, isRepeat: false, avoid: new Set(), attempts: 0 },
      ...{ isRepeatable: false, arrivedAtMs: this.now },
      objectiveAtMs: this.now + 307,
      untilMs: this.now + 4_030,
      ...call,
    };
    this.calls.push(created);
    vm.receive(created);
    return created;
  }

  /** Bursts of three calls at random VMs; their rate rises and falls by half in six seconds. */
  startLoad(perSecond: number, untilMs: number): void {
    const next = (): void => {
      for (let index = 0; index < 3; index += 1) {
        const up = this.vms.filter(({ isUp }) => isUp);
        const vm = up[Math.floor(this.drawLoad() * up.length)];
        if (vm !== undefined) {
          this.arrive(vm, {
            isRepeatable: this.drawLoad() < 0.285,
            rank: Math.floor(this.drawLoad() * 3),
          });
        }
      }
      schedule();
    };
    const schedule = (): void => {
      const rate = perSecond * (1 + 0.5 * Math.sin((2 * Math.PI * this.now) / 6_000));
      const pauseMs = (-Math.log(1 - this.drawLoad()) * 3_000) / rate;
      if (this.now + pauseMs < untilMs) {
        this.clock.after(pauseMs, next);
      }
    };
    schedule();
  }

  private alternate(target: SimulatedTarget): void {
    const { slowShare = 0 } = this.options;
    if (slowShare > 0) {
      const usualMs = (500 * (1 - slowShare)) / slowShare;
      const pauseMs = target.isSlow ? 500 : -Math.log(1 - this.drawLoad()) * usualMs;
      this.clock.after(pauseMs, () => {
        target.isSlow = !target.isSlow;
        this.alternate(target);
      });
    }
  }
}
