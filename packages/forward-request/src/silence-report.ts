/** Log line and counter of each decision on a silent run. */
import {
  createRateLimitedLog,
  type DecisionLog,
  type RateLimitedLog,
} from '@limelead/decision-log';
import type { Metrics } from '@limelead/metrics';
import type { Clock, Millis } from '@limelead/types';
import type { GiveUpCause } from './monitored-run.js';

/**
 * Decision on a silent run: its target is suspected and probed unless a peer shares an answer, the
 * run is kept because the target answered, or it is given up.
 */
export type SilenceOutcome = 'suspected' | 'kept' | GiveUpCause;

/** Inputs and outcome of one decision. Ages are Infinity or undefined without the event. */
export interface JudgedSilence {
  run: string;
  target: string;
  silentMs: Millis;
  limitMs: Millis;
  /** Age of the last probe of this VM. */
  probedAgoMs: Millis | undefined;
  /** Age of the last probe of this VM that was answered. */
  answerAgoMs: Millis;
  /** Age of the last probe of a peer that was answered. */
  peerAnswerAgoMs: Millis;
  /** Time per piece at the target as a multiple of the usual one. */
  pace: number;
  outcome: SilenceOutcome;
}

/** Writes the decisions of one VM. */
export default class SilenceReport {
  private readonly log: RateLimitedLog;
  private readonly metrics: Metrics;

  constructor({ log, clock, metrics }: { log: DecisionLog; clock: Clock; metrics: Metrics }) {
    this.log = createRateLimitedLog(log, clock, 'silence-judged');
    this.metrics = metrics;
  }

  judged({ run, target, pace, outcome, ...ages }: JudgedSilence): void {
    const { probedAgoMs, answerAgoMs, peerAnswerAgoMs } = ages;
    this.metrics.count('limelead_silences_total', 1, { outcome });
    this.log({
      requestId: run,
      target,
      silentMs: Math.round(ages.silentMs),
      limitMs: Math.round(ages.limitMs),
      probedAgoMs: roundAge(probedAgoMs),
      answeredAgoMs: roundAge(answerAgoMs),
      peerAnsweredAgoMs: roundAge(peerAnswerAgoMs),
      pace: Math.round(pace * 10) / 10,
      outcome,
    });
  }
}

function roundAge(ageMs: Millis | undefined): Millis | undefined {
  return ageMs === undefined || !Number.isFinite(ageMs) ? undefined : Math.round(ageMs);
}
