/**
 * Asks a scheduler of a large fleet which target a stream should go to. Advice is
 * worth a moment's wait and no more: where none comes, the VM chooses by what it
 * knows itself.
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
import { choosePart, type Schedulers } from './choose-schedulers.js';
import type { PeerId, TargetAnswer, TargetQuestion } from './types.js';

/**
 * Time for an answer, in milliseconds: several round trips between failure domains,
 * and little beside the second in which a prompt is read.
 */
const ANSWER_TIMEOUT_MS = 40;
/** A scheduler that was late is not asked for this long, in milliseconds. */
const LATE_PAUSE_MS = 1_000;
/**
 * Time after its link came up in which a scheduler is told the load of the others, in
 * milliseconds: they find it within a round of a second.
 */
const WARM_UP_MS = 1_500;

/** What asking needs. */
export interface TargetAdviceOptions {
  self: PeerId;
  clock: Clock;
  timers: Timers;
  /** Schedulers by part of the targets; empty where every VM knows all load. */
  listSchedulers(): Schedulers;
  /** When the link to a scheduler came up, or this VM's own start; undefined without one. */
  readLinkedAtMs(scheduler: PeerId): Millis | undefined;
  /** Takes the decision where this VM is the scheduler. */
  decide(question: TargetQuestion): TargetAnswer | undefined;
  send(scheduler: PeerId, question: TargetQuestion): void;
}

/** A request for advice with the failure domain of the VM that asks. */
export type LocatedRequest = AdviceRequest & Pick<TargetQuestion, 'failureDomain'>;

interface OpenQuestion {
  scheduler: PeerId;
  askedAtMs: Millis;
  cancelTimer: CancelTimer;
  receive(advice: Advice): void;
}

/** Asks for targets. */
export default class TargetAdvice {
  private readonly open = new Map<number, OpenQuestion>();
  /** Number of the last answer of each scheduler. */
  private readonly answered = new Map<PeerId, number>();
  private readonly late = new RecentTimes(LATE_PAUSE_MS);
  private lastNumber = 0;

  constructor(private readonly options: TargetAdviceOptions) {}

  /** Asks; the answer comes at once where there is nobody to ask. Gives what ends waiting. */
  ask(request: LocatedRequest, receive: (advice: Advice) => void): () => void {
    const { self, clock, timers, listSchedulers, decide, send } = this.options;
    const schedulers = listSchedulers();
    const part = choosePart(request.affinityKey, Math.max(1, schedulers.length));
    const scheduler = this.chooseScheduler(schedulers[part] ?? []);
    if (scheduler === undefined) {
      receive({ outcome: 'nobody-to-ask' });
      return () => undefined;
    }
    this.lastNumber += 1;
    const number = this.lastNumber;
    const question: TargetQuestion = { ...request, number, part, parts: schedulers.length };
    if (scheduler === self) {
      receive(toAdvice(decide(question), { scheduler, afterMs: 0 }));
      return () => undefined;
    }
    const cancelTimer = timers.after(ANSWER_TIMEOUT_MS, () => this.onLate(number));
    this.open.set(number, { scheduler, askedAtMs: clock.now(), cancelTimer, receive });
    send(scheduler, question);
    return () => this.close(number);
  }

  /** A scheduler answered. */
  hear(scheduler: PeerId, number: number, answer: TargetAnswer | undefined): void {
    this.answered.set(scheduler, number);
    const question = this.open.get(number);
    if (question?.scheduler === scheduler) {
      const afterMs = this.options.clock.now() - question.askedAtMs;
      this.close(number);
      question.receive(toAdvice(answer, { scheduler, afterMs }));
    }
  }

  /** Number of the last answer of a scheduler: what is sent from now on follows it. */
  answeredBy(scheduler: PeerId): number {
    return this.answered.get(scheduler) ?? 0;
  }

  /** The link to a scheduler broke: nothing that was asked there is answered any more. */
  noteLost(scheduler: PeerId): void {
    this.answered.delete(scheduler);
    const lost = [...this.open].filter(([, question]) => question.scheduler === scheduler);
    lost.forEach(([number]) => this.giveUp(number, 'link-lost'));
  }

  /** The first that had time to be told the load; else the first that is linked. */
  private chooseScheduler(candidates: readonly PeerId[]): PeerId | undefined {
    const { clock, readLinkedAtMs } = this.options;
    const now = clock.now();
    const linked = candidates.filter(
      (peer) => readLinkedAtMs(peer) !== undefined && this.late.ageMs(peer, now) === undefined,
    );
    const isWarm = (peer: PeerId): boolean => now - (readLinkedAtMs(peer) ?? now) >= WARM_UP_MS;
    return linked.find(isWarm) ?? linked[0];
  }

  private onLate(number: number): void {
    const question = this.open.get(number);
    if (question !== undefined) {
      this.late.record(question.scheduler, this.options.clock.now());
      this.giveUp(number, 'late');
    }
  }

  private giveUp(number: number, outcome: 'late' | 'link-lost'): void {
    const question = this.open.get(number);
    if (question !== undefined) {
      const { scheduler, askedAtMs } = question;
      this.close(number);
      question.receive({ outcome, scheduler, afterMs: this.options.clock.now() - askedAtMs });
    }
  }

  private close(number: number): void {
    this.open.get(number)?.cancelTimer();
    this.open.delete(number);
  }
}

function toAdvice(
  answer: TargetAnswer | undefined,
  { scheduler, afterMs }: { scheduler: PeerId; afterMs: Millis },
): Advice {
  return answer === undefined
    ? { outcome: 'no-target', scheduler, afterMs }
    : { outcome: 'advised', ...answer, scheduler, afterMs };
}
