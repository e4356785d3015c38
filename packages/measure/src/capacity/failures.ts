/** What each failure of the letter breaks, at the target size. */
import { TARGET_SIZE, TOKEN_GAP_SECONDS } from './sizes.js';
import { findSlope } from './rows.js';
import type { Slope } from './slope.js';

/** One failure. */
export interface FailureRow {
  failure: string;
  /** Generations whose stream breaks. */
  brokenStreams: number;
  recomputedTokens: number;
  /** Seconds until the survivors have processed what is repeated. */
  recoverySeconds: number;
  containment: string;
}

/** Tokens to process again for one generation: prompt and half an answer; assumed. */
const TOKENS_EACH = 1_500;
/** Prompt tokens a second of one target; assumed, as at the stand-ins. */
const PREFILL_RATE = 20_000;
const RACK_TARGETS = 16;

/** Works the failures out. */
export function assembleFailureRows(slopes: readonly Slope[]): FailureRow[] {
  const streams = TARGET_SIZE.tokensPerSecond * TOKEN_GAP_SECONDS;
  const perTarget = streams / TARGET_SIZE.targets;
  const perVm = streams / TARGET_SIZE.vms;
  const perDomain = streams / TARGET_SIZE.failureDomains;
  const requestMs = findSlope(slopes, 'processor time of the daemon', 'request').slope;
  const recompute = (
    failure: string,
    brokenStreams: number,
    survivors: number,
    containment: string,
  ) => {
    const recomputedTokens = brokenStreams * TOKENS_EACH;
    return {
      failure,
      brokenStreams,
      recomputedTokens,
      recoverySeconds: recomputedTokens / (survivors * PREFILL_RATE),
      containment,
    };
  };
  const targetsLeft = TARGET_SIZE.targets * (1 - 1 / TARGET_SIZE.failureDomains);
  return [
    recompute('a target', perTarget, 60, 'breaker after three failures; places for recoveries'),
    recompute(
      'a rack of 16 targets',
      perTarget * RACK_TARGETS,
      TARGET_SIZE.targets - RACK_TARGETS,
      'places for recoveries, the most urgent first',
    ),
    recompute(
      'a failure domain with its targets',
      perDomain,
      targetsLeft,
      'places for recoveries; refusal of new work under pressure',
    ),
    {
      failure: 'a VM (70 a day, 720 restarts a day)',
      brokenStreams: perVm,
      recomputedTokens: 0,
      recoverySeconds: (perVm * requestMs) / 1_000 / (TARGET_SIZE.vms - 1),
      containment: 'callers attach through other VMs; a planned stop hands over',
    },
    {
      failure: 'the VMs of a failure domain',
      brokenStreams: perDomain,
      recomputedTokens: 0,
      recoverySeconds:
        (perDomain * requestMs) / 1_000 / (TARGET_SIZE.vms * (1 - 1 / TARGET_SIZE.failureDomains)),
      containment: 'callers wait a jittered time; attaching computes nothing again',
    },
    {
      failure: 'a region link for an hour',
      brokenStreams: 0,
      recomputedTokens: 0,
      recoverySeconds: 0,
      containment:
        'streams stay in their region; VMs without a fresh list give targets of the other region no work; shares of limits fall back to equal parts',
    },
    {
      failure: "an outage of the platform's service",
      brokenStreams: 0,
      recomputedTokens: 0,
      recoverySeconds: 0,
      containment: 'calls that are not repeatable and changes are refused; all else goes on',
    },
  ];
}
