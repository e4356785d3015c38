/**
 * Decides whether to wait for a silent run, probe its target, move the run or give it up. Pure.
 * Addresses targets that are slow for about half a second at a time or prefill other prompts: their
 * runs fall silent although the targets are up, beside targets that are dead and send nothing.
 */
import type { Millis } from '@limelead/types';

/** Shortens the silence limit if the target or others of its failure domain were just lost. */
const SUSPECTED_FACTOR = 0.4;
/**
 * Part of the silence limit after which the target counts as silent too. An engine serves
 * its runs in one batch, so their pieces arrive at about the same time.
 */
const TARGET_SILENCE_FACTOR = 0.7;
/**
 * Silence, in limits, after which a target is probed although it sends to other runs: the answer
 * shows whether it still has the run.
 */
const BUSY_TARGET_FACTOR = 2;
/** Silence, in allowed pauses, after which a run is given up even if its target answers. */
const MAX_SILENCE_IN_PAUSES = 2;
/** Minimum time between two probes for silent runs that write, and the age up to which an answer counts. */
const WRITING_PROBE_INTERVAL_MS = 250;
/** Silence of a target during prefill after which it is probed; longer than a usual prefill. */
const PREFILL_PROBE_AFTER_MS = 1_500;
/** The same limit if the target or others of its failure domain were just lost. */
const SUSPECTED_PROBE_AFTER_MS = 40;
/** Minimum time between two probes for runs that read their prompts. */
const PREFILL_PROBE_INTERVAL_MS = 600;

/** State of one run and its target. All ages are in milliseconds. */
export interface RunSilence {
  /** True once the run has sent a piece or if it resumes from a replica; false during prefill. */
  isWriting: boolean;
  /** Time since the last piece of the run, or since its start. */
  runSilentMs: Millis;
  /** Time since the target last sent anything to this VM, or since the start of the run. */
  targetSilentMs: Millis;
  /** Longest silence that the gaps between pieces or the prefill explain. */
  maxSilenceMs: Millis;
  /** Longest pause that the route allows. */
  maxPauseMs: Millis;
  /** True if the target or others of its failure domain were just lost. */
  isSuspected: boolean;
  /** True while a probe of the target is in progress. */
  isProbing: boolean;
  /** Time since this VM last probed the target; undefined without a probe. */
  probedAgoMs?: Millis;
  /** Time since a peer sent the last probe that the target answered; Infinity without one. */
  peerAnswerAgoMs: Millis;
  /** The move that is possible; undefined without a suitable replica. */
  move?: PossibleMove;
}

/** A move of a run to its replica at a target with good pace. */
export interface PossibleMove {
  /** Time since the caller got the last piece. */
  pauseMs: Millis;
  /** Expected time from the move to the next piece. */
  resumeMs: Millis;
  /** Usual gap of the run at the present pace of its target. */
  expectedGapMs: Millis;
}

/**
 * Action for a silent run: "move" and "give-up-run" leave a target that is up, "give-up-target"
 * counts it as lost.
 */
export type SilenceAssessment = 'wait' | 'probe' | 'move' | 'give-up-run' | 'give-up-target';

/** Decides the action for one run. */
export default function assessSilence(silence: RunSilence): SilenceAssessment {
  return silence.isWriting ? assessWriting(silence) : assessPrefill(silence);
}

/** Silence after which the target of a writing run is probed. */
export function findSilenceLimit({
  maxSilenceMs,
  isSuspected,
}: Pick<RunSilence, 'maxSilenceMs' | 'isSuspected'>): Millis {
  return maxSilenceMs * (isSuspected ? SUSPECTED_FACTOR : 1);
}

function assessWriting(silence: RunSilence): SilenceAssessment {
  const { runSilentMs, maxPauseMs } = silence;
  const limitMs = findSilenceLimit(silence);
  if (runSilentMs < limitMs) {
    return 'wait';
  }
  if (runSilentMs >= maxPauseMs * MAX_SILENCE_IN_PAUSES) {
    return 'give-up-run';
  }
  if (shouldMove(silence)) {
    return 'move';
  }
  return needsProbe(silence, limitMs) ? 'probe' : 'wait';
}

/**
 * A move pays off only close to the allowed pause, while the pause can still end in time, and if
 * staying is expected to take longer. A gap that is overdue by some time is expected to take about
 * as long again.
 */
function shouldMove({ runSilentMs, maxPauseMs, move }: RunSilence): boolean {
  if (move === undefined || move.pauseMs >= maxPauseMs) {
    return false;
  }
  const stayMs = Math.abs(move.expectedGapMs - runSilentMs);
  return move.pauseMs >= maxPauseMs - move.resumeMs && stayMs > move.resumeMs;
}

function needsProbe(silence: RunSilence, limitMs: Millis): boolean {
  const { runSilentMs, targetSilentMs, isProbing, probedAgoMs, peerAnswerAgoMs } = silence;
  if (isProbing || (probedAgoMs !== undefined && probedAgoMs < WRITING_PROBE_INTERVAL_MS)) {
    return false;
  }
  const isTargetSilent = targetSilentMs >= limitMs * TARGET_SILENCE_FACTOR;
  if (!isTargetSilent && runSilentMs < limitMs * BUSY_TARGET_FACTOR) {
    return false;
  }
  // A peer's answer replaces only the first probe: this VM alone may have lost the target.
  const hasPeerAnswer =
    peerAnswerAgoMs < Math.min(runSilentMs, WRITING_PROBE_INTERVAL_MS) &&
    runSilentMs < limitMs + WRITING_PROBE_INTERVAL_MS;
  return !hasPeerAnswer;
}

function assessPrefill(silence: RunSilence): SilenceAssessment {
  const { runSilentMs, targetSilentMs, maxSilenceMs, isSuspected, probedAgoMs } = silence;
  if (runSilentMs >= maxSilenceMs) {
    return targetSilentMs < PREFILL_PROBE_AFTER_MS ? 'give-up-run' : 'give-up-target';
  }
  const probeAfterMs = isSuspected ? SUSPECTED_PROBE_AFTER_MS : PREFILL_PROBE_AFTER_MS;
  const isProbed =
    silence.isProbing || (probedAgoMs !== undefined && probedAgoMs < PREFILL_PROBE_INTERVAL_MS);
  return targetSilentMs >= probeAfterMs && !isProbed ? 'probe' : 'wait';
}
