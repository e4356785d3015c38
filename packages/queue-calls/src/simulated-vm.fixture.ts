/** A simulated VM with its waiting calls and its part of the queue. */
import type {
  PermitRefusal,
  PlaceOutcome,
  ReleasePlace,
  WaitingCall,
  WaitingCallQueue,
} from '@limelead/types';
import CallQueue from './call-queue.js';
import type Fleet from './fleet.fixture.js';
import { SLOTS, type default as SimulatedTarget } from './simulated-target.fixture.js';

export const SERVICE = 'calls';
const PAUSE_AFTER_REJECTION_MS = 25;
const MAX_ATTEMPTS = 15;

/** A call with its outcome. */
export interface SimulatedCall extends WaitingCall {
  arrivedAtMs: number;
  isRepeatable: boolean;
  outcome?: 'answered' | 'refused' | 'expired';
  endedAtMs?: number;
  retryAfterMs?: number;
  sentAtMs?: number;
  attempts: number;
}

/** One VM: the calls that it holds, and its part of the queue. */
export default class SimulatedVm {
  waiting: SimulatedCall[] = [];
  readonly inFlight = new Map<string, number>();
  queue: CallQueue;
  isUp = true;
  /** Targets that the other VMs know and this one does not. */
  readonly unknownTargets = new Set<string>();
  private readonly pausedUntilMs = new Map<string, number>();

  constructor(
    private readonly fleet: Fleet,
    readonly name: string,
  ) {
    this.queue = this.createQueue();
  }

  receive(call: SimulatedCall): void {
    this.waiting.push(call);
    this.fleet.clock.after(call.untilMs - this.fleet.now, () => this.end(call, 'expired'));
    this.serve();
    if (this.waiting.includes(call)) {
      this.queue.onQueueChanged(SERVICE);
    }
  }

  /** Ends a call unless it has ended. */
  end(call: SimulatedCall, outcome: SimulatedCall['outcome']): void {
    if (call.outcome === undefined) {
      call.outcome = outcome;
      call.endedAtMs = this.fleet.now;
      this.waiting = this.waiting.filter((other) => other !== call);
    }
  }

  private createQueue(): CallQueue {
    const { fleet } = this;
    const waiting: WaitingCallQueue = {
      list: () => this.waiting,
      serve: () => this.serve(),
      serveAt: (id, target) => this.serveAt(id, target),
      refuse: (id, refusal) => this.refuse(id, refusal),
      isAvoided: (target) => this.isAvoided(target),
    };
    const queue = new CallQueue({
      clock: fleet.clock,
      timers: { after: (ms, run) => fleet.clock.after(ms, () => this.isUp && run()) },
      random: { next: () => fleet.draw() },
      log: { write: (event, fields) => fleet.log.push({ event, vm: this.name, ...fields }) },
      metrics: { count: () => undefined, gauge: () => undefined, recordMs: () => undefined },
      fleet: {
        self: this.name,
        countVms: () => fleet.upCount,
        chooseQueueVm: () => fleet.chooseQueueVm(this),
        send: (vm, message) => fleet.send(this, vm, message),
      },
      targets: {
        isEngine: () => false,
        list: () =>
          fleet.targets
            .filter((target) => this.isKnown(target))
            .map(({ id }) => ({
              ...{ id, slots: SLOTS, isSuspected: false },
              inFlight: this.inFlight.get(id) ?? 0,
            })),
      },
      ...fleet.options.queue,
    });
    queue.attach(waiting);
    return queue;
  }

  private isKnown({ id, isListed }: SimulatedTarget): boolean {
    return isListed && !this.unknownTargets.has(id);
  }

  private isAvoided(targetId: string): boolean {
    const target = this.fleet.targets.find(({ id }) => id === targetId);
    return target === undefined || !this.isKnown(target) || this.isPaused(targetId);
  }

  private isPaused(target: string): boolean {
    return (this.pausedUntilMs.get(target) ?? -Infinity) > this.fleet.now;
  }

  private serve(): void {
    const { policy = 'queue', vms, targets } = this.fleet.options;
    const ownPart = Math.max(1, Math.floor((targets * SLOTS) / vms));
    const compare = (a: SimulatedCall, b: SimulatedCall): number =>
      a.rank - b.rank || a.untilMs - b.untilMs;
    for (const call of [...this.waiting].sort(compare)) {
      const own = [...this.inFlight.values()].reduce((sum, calls) => sum + calls, 0);
      const isAllowed =
        policy === 'queue' ? this.queue.canSend(SERVICE) : policy === 'as now' || own < ownPart;
      const target = isAllowed ? this.chooseTarget(call) : undefined;
      if (target !== undefined) {
        this.send(call, target);
      }
    }
  }

  private chooseTarget(call: SimulatedCall): SimulatedTarget | undefined {
    const callsAt = ({ id }: SimulatedTarget): number =>
      (this.inFlight.get(id) ?? 0) + (call.avoid.has(id) ? 100 : 0);
    return this.fleet.targets
      .filter((target) => this.isKnown(target) && !this.isPaused(target.id))
      .filter(({ id }) => (this.inFlight.get(id) ?? 0) < SLOTS)
      .map((target) => ({ target, order: callsAt(target) + this.fleet.draw() }))
      .sort((a, b) => a.order - b.order)[0]?.target;
  }

  private serveAt(id: number, targetId: string): boolean {
    const call = this.waiting.find((other) => other.id === id);
    const target = this.fleet.targets.find(({ id: known }) => known === targetId);
    if (call === undefined || target === undefined || this.isAvoided(targetId)) {
      return false;
    }
    this.send(call, target);
    return true;
  }

  private refuse(id: number, { retryAfterMs }: PermitRefusal): void {
    const call = this.waiting.find((other) => other.id === id);
    if (call !== undefined) {
      call.retryAfterMs = retryAfterMs;
      this.end(call, 'refused');
    }
  }

  private send(call: SimulatedCall, target: SimulatedTarget, isHedge = false): void {
    const { clock, options } = this.fleet;
    this.waiting = this.waiting.filter((other) => other !== call);
    call.sentAtMs ??= clock.now();
    call.attempts += 1;
    this.inFlight.set(target.id, (this.inFlight.get(target.id) ?? 0) + 1);
    const release = this.queue.recordSend(target.id, SERVICE, call);
    clock.after(this.fleet.linkMs, () =>
      target.receive((outcome) =>
        clock.after(this.fleet.linkMs, () => this.onEnd(call, target, outcome, release)),
      ),
    );
    if (options.policy === 'as now' && call.isRepeatable && !isHedge) {
      clock.after((call.objectiveAtMs - call.arrivedAtMs) / 2, () => {
        const other = this.chooseTarget({ ...call, avoid: new Set([target.id]) });
        if (call.outcome === undefined && other !== undefined) {
          this.send(call, other, true);
        }
      });
    }
  }

  private onEnd(
    call: SimulatedCall,
    { id }: SimulatedTarget,
    outcome: PlaceOutcome,
    release: ReleasePlace,
  ): void {
    if (!this.isUp) {
      return;
    }
    this.inFlight.set(id, (this.inFlight.get(id) ?? 0) - 1);
    release(outcome);
    if (outcome === 'answered') {
      this.end(call, 'answered');
    } else if (call.attempts > MAX_ATTEMPTS) {
      this.end(call, 'refused');
    } else if (call.outcome === undefined) {
      this.pausedUntilMs.set(id, this.fleet.now + PAUSE_AFTER_REJECTION_MS);
      this.fleet.clock.after(PAUSE_AFTER_REJECTION_MS, () => this.serve());
      // A new id, as the slot queue gives to each wait.
      this.waiting.push(Object.assign(call, { id: this.fleet.nextId() }));
      this.queue.onQueueChanged(SERVICE);
    }
    this.serve();
  }
}
