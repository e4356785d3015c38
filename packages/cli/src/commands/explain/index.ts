/** `limelead explain`: tells the way of one request from log lines on standard input. */
import { createInterface } from 'node:readline';
import { EXIT_CODES } from '../../exit-codes.js';
import { printLine } from '../../output.js';
import explainRequest from './explain-request.js';

/** Options of the command. */
export interface ExplainOptions {
  json?: boolean;
}

/** Runs the command. */
export default async function explain(requestId: string, options: ExplainOptions): Promise<number> {
  const lines: string[] = [];
  for await (const line of createInterface({ input: process.stdin })) {
    // Other requests' lines need not be kept.
    if (line.includes(requestId)) {
      lines.push(line);
    }
  }
  const story = explainRequest(requestId, lines);
  if (options.json === true) {
    printLine(JSON.stringify(story));
  } else if (story.steps.length === 0) {
    printLine(`no line names the request ${requestId}`);
  } else {
    story.steps.forEach((step) => printLine(step));
    printLine(`outcome: ${story.outcome ?? 'no line ends the request'}`);
  }
  return story.steps.length === 0 ? EXIT_CODES.failed : EXIT_CODES.done;
}
