/** The command `npm run measure`: runs named experiments and writes their result files. */
import { cac } from 'cac';
import { mkdirSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import measureSlopes from './capacity/measure-slopes.js';
import renderCapacity from './capacity/render-capacity.js';
import type { Experiment, ExperimentResult } from './experiment.js';
import domainLoss from './experiments/domain-loss.js';
import frontDoor from './experiments/front-door.js';
import overload from './experiments/overload.js';
import recovery from './experiments/recovery.js';
import relay from './experiments/relay.js';
import routing from './experiments/routing.js';
import spread from './experiments/spread.js';
import renderCurve from './render-curve.js';
import renderMarkdown from './render-markdown.js';

const EXPERIMENTS: Experiment[] = [
  routing,
  recovery,
  domainLoss,
  overload,
  spread,
  relay,
  frontDoor,
];
const RESULTS_FOLDER = join('docs', 'measurements');
const DEFAULT_SEED_COUNT = 3;
const CAPACITY = 'capacity';

interface MeasureOptions {
  seeds: number;
}

/** Runs the command with the arguments of the process. */
export default async function runMeasure(argv: string[]): Promise<void> {
  const program = cac('measure');
  const names = [...EXPERIMENTS.map(({ name }) => name), CAPACITY].join(', ');
  program
    .command('[...names]', `Run experiments: ${names}`)
    .option('--seeds <number>', 'Seeds of each cell', { default: DEFAULT_SEED_COUNT })
    .action((selected: string[], options: MeasureOptions) => run(selected, options));
  program.help();
  program.parse(argv, { run: false });
  await program.runMatchedCommand();
}

async function run(selected: string[], options: MeasureOptions): Promise<void> {
  mkdirSync(RESULTS_FOLDER, { recursive: true });
  const seeds = Array.from({ length: options.seeds }, (_, index) => index + 1);
  for (const experiment of EXPERIMENTS) {
    if (selected.length === 0 || selected.includes(experiment.name)) {
      writeResult(await experiment.run({ seeds }));
    }
  }
  if (selected.length === 0 || selected.includes(CAPACITY)) {
    await writeCapacity();
  }
}

async function writeCapacity(): Promise<void> {
  const slopes = await measureSlopes();
  writeFileSync(join(RESULTS_FOLDER, `${CAPACITY}.json`), `${JSON.stringify(slopes, null, 2)}\n`);
  writeFileSync(join('docs', 'CAPACITY.md'), renderCapacity(slopes));
}

function writeResult(result: ExperimentResult): void {
  const file = (extension: string): string => join(RESULTS_FOLDER, `${result.name}.${extension}`);
  writeFileSync(file('json'), `${JSON.stringify(result, null, 2)}\n`);
  writeFileSync(file('md'), renderMarkdown(result));
  if (result.name === 'recovery') {
    writeFileSync(file('svg'), renderCurve(result, 'prefilled again', 'resume p95 ms'));
  }
}
