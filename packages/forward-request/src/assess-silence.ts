/** Decides whether to wait for a silent run, probe its target, or give it up. Pure. */

/** Shortens the silence limit if other targets of the failure domain were just lost. */
const SUSPECTED_DOMAIN_FACTOR = 0.6;
/**
 * Part of the silence limit after which the target counts as silent too. An engine serves
 * its runs in one batch, so their pieces arrive at about the same time.
 */
const TARGET_SILENCE_FACTOR = 0.7;
/** Extends the silence limit if the target still sends to other runs: it may be reading a prompt. */
const BUSY_TARGET_FACTOR = 4;
/** Silence of a target during prefill after which it is probed; longer than a usual prefill. */
const PROBE_AFTER_MS = 1_500;
/** The same limit if other targets of the failure domain were just lost. */
const SUSPECTED_DOMAIN_PROBE_AFTER_MS = 40;
/** Minimum time between two probes of a target. */
const PROBE_INTERVAL_MS = 600;

/** State of one run and its target. */
export interface RunSilence {
  /** True once the run has sent a piece or if it resumes from a replica; false during prefill. */
  isWriting: boolean;
  /** Milliseconds since the last piece of the run, or since its start. */
  runSilentMs: number;
  /** Milliseconds since the target last sent anything to this VM, or since the start of the run. */
  targetSilentMs: number;
  /** Longest silence in milliseconds that the gaps between pieces or the prefill explain. */
  maxSilenceMs: number;
  /** True if other targets of the failure domain were just lost. */
  isDomainSuspected: boolean;
  /** Milliseconds since the last probe of the target; undefined without one. */
  probedAgoMs?: number;
}

/** Action for a silent run. */
export type SilenceAssessment = 'wait' | 'probe' | 'give-up';

/** Decides the action for one run. */
export default function assessSilence(silence: RunSilence): SilenceAssessment {
  return silence.isWriting ? assessWriting(silence) : assessPrefill(silence);
}

function assessWriting(silence: RunSilence): SilenceAssessment {
  const { runSilentMs, targetSilentMs, isDomainSuspected } = silence;
  const limitMs = silence.maxSilenceMs * (isDomainSuspected ? SUSPECTED_DOMAIN_FACTOR : 1);
  if (runSilentMs < limitMs) {
    return 'wait';
  }
  const isTargetSilent = targetSilentMs >= limitMs * TARGET_SILENCE_FACTOR;
  return isTargetSilent || runSilentMs >= limitMs * BUSY_TARGET_FACTOR ? 'give-up' : 'wait';
}

function assessPrefill(silence: RunSilence): SilenceAssessment {
  const { runSilentMs, targetSilentMs, maxSilenceMs, isDomainSuspected, probedAgoMs } = silence;
  if (runSilentMs >= maxSilenceMs) {
    return 'give-up';
  }
  const probeAfterMs = isDomainSuspected ? SUSPECTED_DOMAIN_PROBE_AFTER_MS : PROBE_AFTER_MS;
  const probedRecently = probedAgoMs !== undefined && probedAgoMs < PROBE_INTERVAL_MS;
  return targetSilentMs >= probeAfterMs && !probedRecently ? 'probe' : 'wait';
}
