/** Prints the replay table of docs/design/13: `node dist/compare-silence.fixture.js [SEEDS]`. */
import replaySilence, { type ReplayResult, type Scenario } from './replay-silence.fixture.js';

const DEFAULT_SEEDS = 20;

/** The scenarios of the table. */
export const SCENARIOS: Readonly<Record<string, Scenario>> = {
  'steady 30 ms': { affected: 0 },
  'slowed by 2.5 for 500 ms': { affected: 8, isSlow: true },
  'beside a prompt of 8,000 tokens': { affected: 8, prompts: 1 },
  'slowed and beside a prompt': { affected: 8, isSlow: true, prompts: 1 },
  'slowed and beside two prompts': { affected: 8, isSlow: true, prompts: 2 },
  'dark crash of one target': { affected: 1, isDark: true },
  'dark crash of a domain': { affected: 4, isDark: true },
};

/** Sums the replays of several seeds. */
export async function replaySeeds(
  scenario: Scenario,
  seeds: number,
  rule: 'old' | 'new',
): Promise<ReplayResult> {
  const results: ReplayResult[] = [];
  for (let seed = 1; seed <= seeds; seed += 1) {
    results.push(await replaySilence(scenario, seed, rule));
  }
  const sum = (of: (result: ReplayResult) => number): number =>
    results.reduce((total, result) => total + of(result), 0);
  return {
    runs: sum(({ runs }) => runs),
    falseAbandonments: sum(({ falseAbandonments }) => falseAbandonments),
    missed: sum(({ missed }) => missed),
    resumedAfterMs: results.flatMap(({ resumedAfterMs }) => resumedAfterMs),
    latePauses: sum(({ latePauses }) => latePauses),
    probes: sum(({ probes }) => probes),
  };
}

/** Quantile of the values; undefined without values. */
export function quantileOf(values: readonly number[], quantile: number): number | undefined {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.ceil(sorted.length * quantile) - 1];
}

if (process.argv[1]?.endsWith('compare-silence.fixture.js') === true) {
  const seeds = Number(process.argv[2] ?? DEFAULT_SEEDS);
  const format = (value: number | undefined): string =>
    value === undefined ? '-' : String(Math.round(value));
  console.log('| Scenario | Rule | Runs | False | Missed | p50 | p95 | Max | Late | Probes |');
  console.log('| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |');
  for (const [name, scenario] of Object.entries(SCENARIOS)) {
    for (const rule of ['old', 'new'] as const) {
      const result = await replaySeeds(scenario, seeds, rule);
      const times = [0.5, 0.95, 1].map((q) => format(quantileOf(result.resumedAfterMs, q)));
      const { runs, falseAbandonments, missed, latePauses, probes } = result;
      const cells = [name, rule, runs, falseAbandonments, missed, ...times, latePauses, probes];
      console.log(`| ${cells.join(' | ')} |`);
    }
  }
}
