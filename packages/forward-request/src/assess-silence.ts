/**
 * Decides whether to wait for a silent run, probe its target or give it up. Pure.
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
  /** True if the target or others of its failure domain were just lost. */
  isSuspected: boolean;
  /** True while a probe of the target is in progress. */
  isProbing: boolean;
  /** Time since this VM last probed the target; undefined without a probe. */
  probedAgoMs?: Millis;
  /** Time since a peer sent the last probe that the target answered; Infinity without one. */
  peerAnswerAgoMs: Millis;
}

/** Action for a silent run: "give-up-run" leaves a target that is up, "give-up-target" counts it as lost. */
export type SilenceAssessment = 'wait' | 'probe' | 'give-up-run' | 'give-up-target';

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

/**
 * A run that writes is never taken from a target that answers and lists it: not every target ends a
 * run when its connection closes, so two targets would work on the request.
 */
function assessWriting(silence: RunSilence): SilenceAssessment {
  const limitMs = findSilenceLimit(silence);
  const isSilent = silence.runSilentMs >= limitMs;
  return isSilent && needsProbe(silence, limitMs) ? 'probe' : 'wait';
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
