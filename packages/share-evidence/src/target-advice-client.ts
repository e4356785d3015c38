/**
 * Requests advice from a scheduler of a large fleet on where a stream should go. Without advice in
 * time the VM chooses by its own state.
 */
import {
  RecentTimes,
  type Advice,
  type AdviceRequest,
  type CancelTimer,
  type Clock,
  type Millis,
  type Timers,
} from '@limelead/types';
import { choosePartition, type SchedulersByPartition } from './choose-schedulers.js';
import type { PeerId, SchedulerAnswer, SchedulerRequest } from './types.js';

/**
 * Timeout of a request in milliseconds: several round trips between failure domains, and short
 * compared with the time to the first piece.
 */
const ANSWER_TIMEOUT_MS = 40;
/** Time for which a scheduler that was late is not asked, in milliseconds. */
const LATE_COOLDOWN_MS = 1_000;
/** Time after linking in which a scheduler receives the load of the other VMs, in milliseconds. */
const WARM_UP_MS = 1_500;

/** Dependencies of `TargetAdviceClient`. */
export interface TargetAdviceClientOptions {
  self: PeerId;
  clock: Clock;
  timers: Timers;
  /**
   * Schedulers by partition of the targets; empty in a small fleet, in which every VM knows all
   * load.
   */
  listSchedulers(): SchedulersByPartition;
  /**
   * Time at which the link to a scheduler came up, or this VM's own start; undefined without a
   * link.
   */
  readLinkedAtMs(scheduler: PeerId): Millis | undefined;
  /** Those of the VMs that reach the service; all of them if none does. */
  preferReached(vms: readonly PeerId[], service: string): readonly PeerId[];
  /** Decides the request if this VM is the scheduler. */
  adviseLocally(request: SchedulerRequest): SchedulerAnswer | undefined;
  send(scheduler: PeerId, request: SchedulerRequest): void;
}

/** A request for advice with the failure domain of the sender. */
export type LocatedAdviceRequest = AdviceRequest & Pick<SchedulerRequest, 'failureDomain'>;

interface PendingRequest {
  scheduler: PeerId;
  askedAtMs: Millis;
  cancelTimer: CancelTimer;
  receive(advice: Advice): void;
}

/** Sends requests to schedulers and matches their answers. */
export default class TargetAdviceClient {
  private readonly pending = new Map<number, PendingRequest>();
  /** Number of the last answer of each scheduler. */
  private readonly answerNumbers = new Map<PeerId, number>();
  private readonly lateSchedulers = new RecentTimes(LATE_COOLDOWN_MS);
  private lastRequestNumber = 0;

  constructor(private readonly options: TargetAdviceClientOptions) {}

  /**
   * Requests advice. `receive` is called at once if there is no scheduler.
   * @returns a function that cancels the request
   */
  requestAdvice(request: LocatedAdviceRequest, receive: (advice: Advice) => void): () => void {
    const { self, clock, timers, listSchedulers, adviseLocally, send } = this.options;
    const schedulers = listSchedulers();
    const part = choosePartition(request.affinityKey, Math.max(1, schedulers.length));
    const scheduler = this.chooseScheduler(
      this.options.preferReached(schedulers[part] ?? [], request.service),
    );
    if (scheduler === undefined) {
      receive({ outcome: 'nobody-to-ask' });
      return () => undefined;
    }
    this.lastRequestNumber += 1;
    const number = this.lastRequestNumber;
    const schedulerRequest: SchedulerRequest = {
      ...request,
      number,
      part,
      parts: schedulers.length,
    };
    if (scheduler === self) {
      receive(toAdvice(adviseLocally(schedulerRequest), { scheduler, afterMs: 0 }));
      return () => undefined;
    }
    const cancelTimer = timers.after(ANSWER_TIMEOUT_MS, () => this.onTimeout(number));
    this.pending.set(number, { scheduler, askedAtMs: clock.now(), cancelTimer, receive });
    send(scheduler, schedulerRequest);
    return () => this.close(number);
  }

  /** Handles the answer of a scheduler. */
  onAnswer(scheduler: PeerId, number: number, answer: SchedulerAnswer | undefined): void {
    this.answerNumbers.set(scheduler, number);
    const request = this.pending.get(number);
    if (request?.scheduler === scheduler) {
      const afterMs = this.options.clock.now() - request.askedAtMs;
      this.close(number);
      request.receive(toAdvice(answer, { scheduler, afterMs }));
    }
  }

  /** Number of a scheduler's last answer, which the load sent from now on includes. */
  lastAnswerNumber(scheduler: PeerId): number {
    return this.answerNumbers.get(scheduler) ?? 0;
  }

  /** Ends the open requests to a scheduler whose link is lost. */
  onLinkLost(scheduler: PeerId): void {
    this.answerNumbers.delete(scheduler);
    const lost = [...this.pending].filter(([, request]) => request.scheduler === scheduler);
    lost.forEach(([number]) => this.abandon(number, 'link-lost'));
  }

  /** Returns the first linked scheduler that has warmed up, or else the first linked one. */
  private chooseScheduler(candidates: readonly PeerId[]): PeerId | undefined {
    const { clock, readLinkedAtMs } = this.options;
    const now = clock.now();
    const linked = candidates.filter(
      (peer) =>
        readLinkedAtMs(peer) !== undefined && this.lateSchedulers.ageMs(peer, now) === undefined,
    );
    const isWarmedUp = (peer: PeerId): boolean => now - (readLinkedAtMs(peer) ?? now) >= WARM_UP_MS;
    return linked.find(isWarmedUp) ?? linked[0];
  }

  private onTimeout(number: number): void {
    const request = this.pending.get(number);
    if (request !== undefined) {
      this.lateSchedulers.record(request.scheduler, this.options.clock.now());
      this.abandon(number, 'late');
    }
  }

  private abandon(number: number, outcome: 'late' | 'link-lost'): void {
    const request = this.pending.get(number);
    if (request !== undefined) {
      const { scheduler, askedAtMs } = request;
      this.close(number);
      request.receive({ outcome, scheduler, afterMs: this.options.clock.now() - askedAtMs });
    }
  }

  private close(number: number): void {
    this.pending.get(number)?.cancelTimer();
    this.pending.delete(number);
  }
}

function toAdvice(
  answer: SchedulerAnswer | undefined,
  { scheduler, afterMs }: { scheduler: PeerId; afterMs: Millis },
): Advice {
  if (answer?.target === undefined) {
    return { outcome: answer?.noRoom ? 'no-room' : 'no-target', scheduler, afterMs };
  }
  const { noRoom: _, ...advised } = answer;
  return { outcome: 'advised', ...advised, scheduler, afterMs };
}
