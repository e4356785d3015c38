/**
 * Prints a table of domain losses with the rules of the retry budget before and after priorities:
 * node packages/share-evidence/dist/compare-retry-rules.fixture.js
 */
import replayDomainLosses, { type ReplayResult } from './retry-replay.fixture.js';

const fleets = [
  { vms: 30, domains: 4, streamsPerSecond: 33.5, oneWayMs: 0.5 },
  { vms: 71, domains: 3, streamsPerSecond: 19.6, oneWayMs: 1.4 },
];
console.log(
  '| VMs | Other moves per s | Rule | Written breaks | In time | With replica | ' +
    'of them in time | Waits or refusals | Median wait, ms | Messages | Largest use |',
);
for (const fleet of fleets) {
  for (const otherMovesPerSecond of [2, 15, 25, 40]) {
    for (const rule of ['polling', 'priority'] as const) {
      const results = [1, 2, 3].map((seed) =>
        replayDomainLosses({ ...fleet, otherMovesPerSecond, seed, rule }),
      );
      const total = (key: keyof ReplayResult): number =>
        results.reduce((sum, result) => sum + result[key], 0);
      const cells = [
        ...[fleet.vms, otherMovesPerSecond, rule, total('writtenBreaks')],
        (total('inTime') / total('writtenBreaks')).toFixed(3),
        total('replicaBreaks'),
        (total('replicaInTime') / total('replicaBreaks')).toFixed(3),
        total('refusals'),
        results.map(({ medianWaitMs }) => Math.round(medianWaitMs)).join(' '),
        total('messages'),
        Math.max(...results.map(({ maxUse }) => maxUse)).toFixed(3),
      ];
      console.log(`| ${cells.join(' | ')} |`);
    }
  }
}
