/** What each failure of the letter breaks, at the target size. */
import { TARGET, TOKEN_GAP_SECONDS } from './sizes.js';
import { findSlope } from './rows.js';
import type { Slope } from './slope.js';

/** One failure. */
export interface FailureRow {
  failure: string;
  /** Generations whose stream breaks. */
  broken: number;
  repeatedTokens: number;
  /** Seconds until the survivors have processed what is repeated. */
  seconds: number;
  limit: string;
}

/** Tokens to process again for one generation: prompt and half an answer; assumed. */
const TOKENS_EACH = 1_500;
/** Prompt tokens a second of one target; assumed, as at the stand-ins. */
const PREFILL_RATE = 20_000;
const RACK_TARGETS = 16;

/** Works the failures out. */
export function assembleFailureRows(slopes: readonly Slope[]): FailureRow[] {
  const streams = TARGET.tokensPerSecond * TOKEN_GAP_SECONDS;
  const perTarget = streams / TARGET.targets;
  const perVm = streams / TARGET.vms;
  const perDomain = streams / TARGET.failureDomains;
  const requestMs = findSlope(slopes, 'processor time of the daemon', 'request').slope;
  const recompute = (failure: string, broken: number, survivors: number, limit: string) => {
    const repeatedTokens = broken * TOKENS_EACH;
    return {
      failure,
      broken,
      repeatedTokens,
      seconds: repeatedTokens / (survivors * PREFILL_RATE),
      limit,
    };
  };
  const targetsLeft = TARGET.targets * (1 - 1 / TARGET.failureDomains);
  return [
    recompute('a target', perTarget, 60, 'breaker after three failures; places for recoveries'),
    recompute(
      'a rack of 16 targets',
      perTarget * RACK_TARGETS,
      TARGET.targets - RACK_TARGETS,
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
      broken: perVm,
      repeatedTokens: 0,
      seconds: (perVm * requestMs) / 1_000 / (TARGET.vms - 1),
      limit: 'callers attach through other VMs; a planned stop hands over',
    },
    {
      failure: 'the VMs of a failure domain',
      broken: perDomain,
      repeatedTokens: 0,
      seconds: (perDomain * requestMs) / 1_000 / (TARGET.vms * (1 - 1 / TARGET.failureDomains)),
      limit: 'callers wait a jittered time; attaching computes nothing again',
    },
    {
      failure: 'a region link for an hour',
      broken: 0,
      repeatedTokens: 0,
      seconds: 0,
      limit:
        'streams stay in their region; VMs without a fresh list give targets of the other region no work; shares of limits fall back to equal parts',
    },
    {
      failure: "an outage of the platform's service",
      broken: 0,
      repeatedTokens: 0,
      seconds: 0,
      limit: 'calls that are not repeatable and changes are refused; all else goes on',
    },
  ];
}
