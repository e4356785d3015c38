/** `limelead demo`: injects faults into a cluster in one process and checks every answer. */
import { FAULT_NAMES, isFaultName, runDemo, type DemoReport } from '@limelead/demo';
import { EXIT_CODES } from '../../exit-codes.js';
import { printLine } from '../../output.js';
import UsageError from '../../usage-error.js';

const DEFAULT_REQUESTS = 24;
const MAX_REQUESTS = 1_000;

/** Options of the command. */
export interface DemoOptions {
  fault?: string;
  seed?: number;
  requests?: number;
  json?: boolean;
}

/** Runs the command; returns the exit code. */
export default async function demo(options: DemoOptions): Promise<number> {
  const fault = options.fault ?? 'engine-death';
  const requests = options.requests ?? DEFAULT_REQUESTS;
  if (!isFaultName(fault)) {
    throw new UsageError(`--fault: expected one of ${FAULT_NAMES.join(', ')}`);
  }
  if (!Number.isInteger(requests) || requests < 1 || requests > MAX_REQUESTS) {
    throw new UsageError(`--requests: expected 1 to ${MAX_REQUESTS}`);
  }
  const print = options.json === true ? undefined : printLine;
  const report = await runDemo({ fault, seed: options.seed ?? 1, requests, print });
  if (options.json === true) {
    printLine(JSON.stringify(report));
  } else {
    printSummary(report);
  }
  return report.promisesHeld ? EXIT_CODES.done : EXIT_CODES.failed;
}

function printSummary(report: DemoReport): void {
  const { resumeLatencyMs: resume } = report;
  printLine('');
  printLine(`${report.requests} requests, ${report.failed.length} failed`);
  printLine(
    `tokens: ${report.tokensDelivered} of ${report.tokensExpected} delivered, ` +
      `${report.missing} missing, ${report.repeated} repeated, ${report.mixed} mixed`,
  );
  printLine(
    `non-repeatable calls: ${report.nonRepeatableSent}, ` +
      `maximum runs of one call: ${report.nonRepeatableRunsMax}, ` +
      `reported as not run but ran: ${report.notRunButRan}`,
  );
  printLine(
    `interruptions seen by callers: ${resume.count}, ` +
      `time without a token ${resume.p50} ms (median), ${resume.max} ms (maximum)`,
  );
  printLine(
    `extra engine work: ${report.extraPrefillTokens} prompt tokens, ` +
      `${report.extraDecodedTokens} decoded tokens`,
  );
  printLine(report.promisesHeld ? 'all guarantees held' : 'A GUARANTEE WAS VIOLATED');
}
