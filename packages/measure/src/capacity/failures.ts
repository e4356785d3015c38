/** Computes the effect of each planned-for failure at the target size. */
import { TARGET_SIZE, TOKEN_GAP_SECONDS } from './sizes.js';
import { findSlope } from './rows.js';
import type { Slope } from './slope.js';

/** Effect of one failure. */
export interface FailureRow {
  failure: string;
  /** Generations whose stream breaks. */
  brokenStreams: number;
  recomputedTokens: number;
  /** Time until the remaining targets or VMs have done the repeated work. */
  recoverySeconds: number;
  /** Mechanism that keeps the failure from spreading. */
  containment: string;
}

/** Prompt and half an answer of one generation. */
const RECOMPUTED_TOKENS_PER_GENERATION = 1_500;
const PREFILL_TOKENS_PER_SECOND = 20_000;
const TARGETS_PER_RACK = 16;

/** Computes all failure rows from the measured slopes. */
export function assembleFailureRows(slopes: readonly Slope[]): FailureRow[] {
  const streams = TARGET_SIZE.tokensPerSecond * TOKEN_GAP_SECONDS;
  const streamsPerTarget = streams / TARGET_SIZE.targets;
  const streamsPerVm = streams / TARGET_SIZE.vms;
  const streamsPerDomain = streams / TARGET_SIZE.failureDomains;
  const cpuMsPerRequest = findSlope(slopes, 'processor time of the daemon', 'request').slope;
  const createRecomputeRow = (
    failure: string,
    brokenStreams: number,
    survivors: number,
    containment: string,
  ) => {
    const recomputedTokens = brokenStreams * RECOMPUTED_TOKENS_PER_GENERATION;
    return {
      failure,
      brokenStreams,
      recomputedTokens,
      recoverySeconds: recomputedTokens / (survivors * PREFILL_TOKENS_PER_SECOND),
      containment,
    };
  };
  const remainingTargets = TARGET_SIZE.targets * (1 - 1 / TARGET_SIZE.failureDomains);
  return [
    createRecomputeRow(
      'a target',
      streamsPerTarget,
      60,
      'breaker after three failures; places for recoveries',
    ),
    createRecomputeRow(
      'a rack of 16 targets',
      streamsPerTarget * TARGETS_PER_RACK,
      TARGET_SIZE.targets - TARGETS_PER_RACK,
      'places for recoveries, the most urgent first',
    ),
    createRecomputeRow(
      'a failure domain with its targets',
      streamsPerDomain,
      remainingTargets,
      'places for recoveries; refusal of new work under pressure',
    ),
    {
      failure: 'a VM (70 a day, 720 restarts a day)',
      brokenStreams: streamsPerVm,
      recomputedTokens: 0,
      recoverySeconds: (streamsPerVm * cpuMsPerRequest) / 1_000 / (TARGET_SIZE.vms - 1),
      containment: 'callers attach through other VMs; a planned stop hands over',
    },
    {
      failure: 'the VMs of a failure domain',
      brokenStreams: streamsPerDomain,
      recomputedTokens: 0,
      recoverySeconds:
        (streamsPerDomain * cpuMsPerRequest) /
        1_000 /
        (TARGET_SIZE.vms * (1 - 1 / TARGET_SIZE.failureDomains)),
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
