/**
 * Simulates seeded roll-outs and prints a JSON line of results for each kind of version.
 * Usage: node bin/prove.js VMS RUNS [sequential|proportions|ignore] [KIND]
 */
import { ProportionTest, SequentialTest } from '@limelead/judge-version';
import { BAD_KINDS, findViolations, simulateRollOut } from '../dist/fleet.fixture.js';

const [vms = '3', runs = '20', method = 'sequential', only] = process.argv.slice(2);
const tests = {
  sequential: () => new SequentialTest(),
  proportions: () => new ProportionTest(),
  ignore: () => ({ evaluate: () => undefined }),
};

for (const kind of ['good', ...BAD_KINDS].filter((name) => only === undefined || name === only)) {
  const results = [];
  const violations = {};
  for (let seed = 1; seed <= Number(runs); seed += 1) {
    const plan = {
      seed: seed * 7919,
      vms: Number(vms),
      kind,
      durationMs: 60_000,
      hasFaults: true,
      createTest: tests[method],
    };
    const result = await simulateRollOut(plan);
    results.push(result);
    for (const name of findViolations(plan, result)) {
      violations[name] = (violations[name] ?? 0) + 1;
    }
  }
  const sorted = (read) => results.map(read).sort((a, b) => a - b);
  const median = (read) => sorted(read)[Math.floor(results.length / 2)];
  process.stdout.write(
    `${JSON.stringify({
      way: method,
      vms: Number(vms),
      kind,
      runs: results.length,
      rolledBack: results.filter(({ states }) => states.at(-1) === 'rolled_back').length,
      exposed: median(({ exposed }) => exposed),
      mostExposed: sorted(({ exposed }) => exposed).at(-1),
      requests: median(({ requests }) => requests),
      leftAfterFirstMs: median(({ leftAfterFirstMs }) => leftAfterFirstMs),
      mostLeftAfterManyMs: sorted(({ leftAfterManyMs }) => leftAfterManyMs).at(-1),
      broken: violations,
    })}\n`,
  );
}
