/** Load of 24 organisations on a simulated fleet: usual, with one that sends more, or with repeats. */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import Fleet from './fleet.fixture.js';
import type { ShareOrder } from './share-order.js';
import type { SimulatedCall } from './simulated-vm.fixture.js';

const ORGANISATIONS = 24;
/** Large ones send a tenth of the usual load each, the others the rest. */
const LARGE = 3;
const LARGE_SHARE = 0.1;
/** Repeats are sent at once, each at a random VM. */
const REPEATS = 3;
const PERIOD_MS = 6_000;
const WORK_MS = 61;
const SLOW_SHARE = 0.15;
/** Calls per second that one target serves, slow times included. */
const SERVED_PER_SECOND = (6_000 * (1 - SLOW_SHARE + SLOW_SHARE / 2.5)) / WORK_MS;

export interface SharedLoad {
  vms: number;
  targets: number;
  seed: number;
  /** Usual load as a share of what the targets serve. */
  demand: number;
  /** Organisation that sends ten times its usual load, by its number. */
  noisy?: number;
  /** Share of the calls that are repeated. */
  repeatShare?: number;
  /** Whether each call has a random rank; else all calls have the same one. */
  hasMixedRanks?: boolean;
  endMs: number;
  createShares?(): ShareOrder;
}

/** A call, and whether it is a repeat of another one or of its organisation's usual load. */
export interface SharedCall {
  call: SimulatedCall;
  organisation: number;
  /** True for a first request or a repeat of a caller that repeats. */
  isRepeated: boolean;
}

/** Runs the load until all calls have ended. */
export function runSharedLoad(load: SharedLoad): { calls: SharedCall[]; fleet: Fleet } {
  const { vms, targets, seed, demand, noisy, repeatShare = 0, endMs } = load;
  const linkMs = vms === 30 ? 0.5 : 1.4;
  const fleet = new Fleet({
    ...{ vms, targets, seed, linkMs, workMs: WORK_MS, slowShare: SLOW_SHARE },
    queue: load.createShares === undefined ? {} : { createShares: load.createShares },
  });
  const calls: SharedCall[] = [];
  let lastMark = 0;
  const perSecond = demand * targets * SERVED_PER_SECOND;
  for (let organisation = 0; organisation < ORGANISATIONS; organisation += 1) {
    // A generator for each organisation, so that the others send the same in all conditions.
    const generator = xoroshiro128plus(seed * 1_000 + organisation);
    const draw = (): number => uniformFloat64(generator);
    const share =
      organisation < LARGE ? LARGE_SHARE : (1 - LARGE * LARGE_SHARE) / (ORGANISATIONS - LARGE);
    const factor = organisation === noisy ? 10 : 1;
    const arrive = (hash: string, rank: number, isRepeated: boolean): void => {
      lastMark += 1;
      const call = fleet.arrive(fleet.vms[Math.floor(draw() * vms)]!, {
        ...{ organisation: `o${organisation}`, rank },
        mark: { hash, number: lastMark },
      });
      calls.push({ call, organisation, isRepeated });
    };
    const burst = (): void => {
      for (let index = 0; index < 3; index += 1) {
        const rank = load.hasMixedRanks === true ? Math.floor(draw() * 3) : 1;
        const copies = draw() < repeatShare ? 1 + REPEATS : 1;
        const hash = `${organisation}-${calls.length}`;
        for (let copy = 0; copy < copies; copy += 1) {
          arrive(hash, rank, copies > 1);
        }
      }
      schedule();
    };
    const schedule = (): void => {
      const wave = 1 + 0.5 * Math.sin((2 * Math.PI * fleet.now) / PERIOD_MS);
      const pauseMs = (-Math.log(1 - draw()) * 3_000) / (perSecond * share * factor * wave);
      if (fleet.now + pauseMs < endMs) {
        fleet.clock.after(pauseMs, burst);
      }
    };
    schedule();
  }
  fleet.clock.runUntil(endMs + 5_000);
  return { calls, fleet };
}

/** Whether the answer came within the objective. */
export function isInTime({ outcome, endedAtMs = Infinity, objectiveAtMs }: SimulatedCall): boolean {
  return outcome === 'answered' && endedAtMs <= objectiveAtMs;
}

/** Share of the calls that are answered in time. */
export function shareInTime(calls: readonly SharedCall[]): number {
  return calls.filter(({ call }) => isInTime(call)).length / Math.max(1, calls.length);
}
