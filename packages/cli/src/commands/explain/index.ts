/** `limelead explain`: explains how a request was served, from log lines on standard input. */
import { createInterface } from 'node:readline';
import { EXIT_CODES } from '../../exit-codes.js';
import { printLine } from '../../output.js';
import explainRequest, { isRelevantLine } from './explain-request.js';

/** Options of the command. */
export interface ExplainOptions {
  json?: boolean;
}

/** Runs the command; returns the exit code. */
export default async function explain(requestId: string, options: ExplainOptions): Promise<number> {
  const lines: string[] = [];
  for await (const line of createInterface({ input: process.stdin })) {
    // Skip the lines of other requests to limit memory use.
    if (isRelevantLine(requestId, line)) {
      lines.push(line);
    }
  }
  const explanation = explainRequest(requestId, lines);
  if (options.json === true) {
    printLine(JSON.stringify(explanation));
  } else if (explanation.steps.length === 0) {
    printLine(`no log line found for request ${requestId}`);
  } else {
    explanation.steps.forEach((step) => printLine(step));
    explanation.reasons.forEach((reason) => printLine(`reason: ${reason}`));
    printLine(`outcome: ${explanation.outcome ?? 'unknown, no log line ends the request'}`);
  }
  return explanation.steps.length === 0 ? EXIT_CODES.failed : EXIT_CODES.done;
}
