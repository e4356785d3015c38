/** `limelead load`: sends the load that a mix file describes to running VMs. */
import { createSeededRandom } from '@limelead/demo';
import { decodeMix, planArrivals, runLoad, type LoadSummary } from '@limelead/load';
import { systemTimers } from '@limelead/types';
import * as E from 'fp-ts/lib/Either.js';
import { readFileSync } from 'node:fs';
import { EXIT_CODES } from '../../exit-codes.js';
import { printLine, printTable } from '../../output.js';
import UsageError from '../../usage-error.js';

const DEFAULT_TRIES = 10;

/** Options of the command. */
export interface LoadOptions {
  url?: string;
  seed?: number;
  tries?: number;
  json?: boolean;
}

/** Runs the command; returns the exit code. */
export default async function load(file: string, options: LoadOptions): Promise<number> {
  const urls = options.url ?? process.env['LIMELEAD_URL'];
  if (urls === undefined) {
    throw new UsageError('--url or LIMELEAD_URL is required; the keys are in the mix file');
  }
  const mix = decodeMix(file, readFileSync(file, 'utf8'));
  if (E.isLeft(mix)) {
    throw mix.left;
  }
  const seed = options.seed ?? 1;
  const arrivals = planArrivals(mix.right, createSeededRandom(seed), `load-${seed}`);
  const summary = await runLoad(arrivals, {
    urls: urls.split(','),
    timers: systemTimers,
    maxTries: options.tries ?? DEFAULT_TRIES,
  });
  if (options.json === true) {
    printLine(JSON.stringify(summary));
  } else {
    printSummary(summary);
  }
  return EXIT_CODES.done;
}

function printSummary(summary: LoadSummary): void {
  const rows = Object.entries({ ...summary.kinds, all: summary.all }).map(([name, kind]) => [
    name,
    String(kind.sent),
    String(kind.whole),
    String(kind.missedDeadlines),
    String(kind.firstTokenMs.p50),
    String(kind.firstTokenMs.p95),
    String(kind.tokenGapMs.p95),
    String(kind.totalMs.p95),
    Object.entries(kind.errors)
      .map(([error, count]) => `${count} ${error}`)
      .join(', '),
  ]);
  printTable(
    ['KIND', 'SENT', 'WHOLE', 'LATE', 'FIRST P50', 'P95', 'GAP P95', 'TOTAL P95', 'ERRORS'],
    rows,
  );
  printLine(
    `${summary.goodTokensPerSecond.toFixed(0)} tokens/s and ` +
      `${summary.goodRequestsPerSecond.toFixed(1)} requests/s whole and in time`,
  );
}
