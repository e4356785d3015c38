/** Pure judgement on a run that sends nothing: wait, ask the target, or give it up. */

/**
 * Part of the bound (0 to 1) that is enough when the target's whole failure domain
 * is in doubt: the losses beside it are evidence of their own. Measured as a whole
 * with the doubt of domains (docs/measurements/ravnovesje.md).
 */
const DOUBTFUL_SHARE = 0.6;
/**
 * The rest of the target is also silent when its silence reaches this part of the
 * bound (0 to 1). All runs of an engine are served in one batch, so their pieces
 * come at about the same time.
 */
const TARGET_SHARE = 0.7;
/**
 * A target that sends to others may hold one run up for this many bounds: at 250 ms
 * about the second in which an engine reads a prompt of usual length beside it.
 */
const PATIENCE_WITH_BUSY_TARGET = 4;
/**
 * Silence of a target that reads a prompt, in milliseconds, after which it is
 * asked: longer than the users' engines read a prompt of usual length (1.0 s).
 */
const ASK_AFTER_MS = 1_500;
/** The same where the failure domain is in doubt: right after the news of its losses. */
const ASK_AFTER_IN_DOUBT_MS = 40;
/** Time between two questions, in milliseconds: each is paid for, and reports lag by 200 ms. */
const ASK_INTERVAL_MS = 600;

/** What is known of one silent run. */
export interface SilenceSituation {
  /**
   * True where a piece may be expected any moment: the run has sent one, or it
   * goes on from a copy. Before, a run reads its prompt and is silent by nature.
   */
  isSending: boolean;
  /** Milliseconds since the run last sent something, or since it was sent. */
  runSilentMs: number;
  /** Milliseconds since the target last sent anything to this VM, or since the run was sent. */
  targetSilentMs: number;
  /** Silence that its gaps, or before the first piece the reading of its prompt, explain. */
  boundMs: number;
  /** Other targets of the same failure domain were lost just now. */
  isDomainDoubtful: boolean;
  /** Milliseconds since the target was last asked; undefined for never. */
  askedAgoMs?: number;
}

/** What to do about a silent run. */
export type SilenceJudgement = 'wait' | 'ask' | 'give-up';

/** Judges one run. */
export default function judgeSilence(situation: SilenceSituation): SilenceJudgement {
  return situation.isSending ? judgeSending(situation) : judgeReading(situation);
}

function judgeSending(situation: SilenceSituation): SilenceJudgement {
  const { runSilentMs, targetSilentMs, isDomainDoubtful } = situation;
  const boundMs = situation.boundMs * (isDomainDoubtful ? DOUBTFUL_SHARE : 1);
  if (runSilentMs < boundMs) {
    return 'wait';
  }
  const isTargetSilent = targetSilentMs >= boundMs * TARGET_SHARE;
  return isTargetSilent || runSilentMs >= boundMs * PATIENCE_WITH_BUSY_TARGET ? 'give-up' : 'wait';
}

function judgeReading(situation: SilenceSituation): SilenceJudgement {
  const { runSilentMs, targetSilentMs, boundMs, isDomainDoubtful, askedAgoMs } = situation;
  if (runSilentMs >= boundMs) {
    return 'give-up';
  }
  const askAfterMs = isDomainDoubtful ? ASK_AFTER_IN_DOUBT_MS : ASK_AFTER_MS;
  const askedLately = askedAgoMs !== undefined && askedAgoMs < ASK_INTERVAL_MS;
  return targetSilentMs >= askAfterMs && !askedLately ? 'ask' : 'wait';
}
