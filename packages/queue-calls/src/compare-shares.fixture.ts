/**
 * Compares the order with and without fair shares. Prints a line of JSON for each case:
 * node packages/queue-calls/dist/compare-shares.fixture.js [END_MS [VMS,... [DEMAND,... [MIXED,...]]]]
 */
import { FairShares } from '@limelead/admit-request';
import { runSharedLoad, shareInTime, type SharedLoad } from './shared-load.fixture.js';

const END_MS = Number(process.argv[2] ?? 30_000);
const SIZES = (process.argv[3] ?? '30,71').split(',').map(Number);
const DEMANDS = (process.argv[4] ?? '0.6,0.8,1').split(',').map(Number);
const MIXED_RANKS = (process.argv[5] ?? 'false,true').split(',').map((text) => text === 'true');
const FROM_MS = 3_000;
const SEEDS = [1, 2];
const TARGETS = 5;

const CONDITIONS: Readonly<Record<string, Partial<SharedLoad>>> = {
  usual: {},
  'large sends 10 times': { noisy: 0 },
  'small sends 10 times': { noisy: 23 },
  'a tenth repeats 3 times': { repeatShare: 0.1 },
};

const round = (value: number): number => Number(value.toFixed(3));

for (const vms of SIZES) {
  for (const demand of DEMANDS) {
    for (const hasMixedRanks of MIXED_RANKS) {
      for (const [condition, options] of Object.entries(CONDITIONS)) {
        for (const hasShares of [false, true]) {
          const calls = SEEDS.flatMap((seed) =>
            runSharedLoad({
              ...{ vms, targets: TARGETS, seed, demand, hasMixedRanks, endMs: END_MS },
              ...(hasShares ? { createShares: () => new FairShares() } : {}),
              ...options,
            }).calls.filter(({ call }) => call.arrivedAtMs >= FROM_MS),
          );
          const others = calls.filter(
            ({ organisation, isRepeated }) => organisation !== options.noisy && !isRepeated,
          );
          const byRank = [0, 1, 2].map((rank) =>
            round(shareInTime(others.filter(({ call }) => call.rank === rank))),
          );
          const allByRank = [0, 1, 2].map((rank) =>
            round(shareInTime(calls.filter(({ call }) => call.rank === rank))),
          );
          const paying = calls.filter((call) => !others.includes(call));
          const row = {
            ...{ vms, demand, hasMixedRanks, condition, hasShares },
            others: round(shareInTime(others)),
            paying: paying.length === 0 ? null : round(shareInTime(paying)),
            ...(hasMixedRanks ? { othersByRank: byRank, allByRank } : {}),
            answered: round(
              calls.filter(({ call }) => call.outcome === 'answered').length / calls.length,
            ),
          };
          console.log(JSON.stringify(row));
        }
      }
    }
  }
}
