/**
 * Structured log of decisions. Each line is one JSON object. Lines wait in a
 * bounded queue while the output is slow; what does not fit is dropped, and the
 * next line that is written says how many were.
 */
import type { Clock } from '@limelead/types';
import createFileOutput from './file-output.js';
import type { LogOutput } from './log-output.js';

export { default as createRateLimitedLog, type RateLimitedLog } from './rate-limited-log.js';
export type { LogOutput } from './log-output.js';

const STANDARD_OUTPUT = 1;
const DEFAULT_MAX_QUEUED_LINES = 2_000;
/** Bytes written at once. */
const MAX_BATCH_LINES = 200;

/** Values of one line. */
export type LogFields = Readonly<
  Record<string, string | number | boolean | readonly (string | number)[] | undefined>
>;

/** Takes lines. */
export interface DecisionLog {
  /** Writes one line; `event` names the decision. */
  write(event: string, fields?: LogFields): void;
  /** Resolves when everything that waited was written. */
  flush(): Promise<void>;
  /** Lines dropped so far. */
  readonly dropped: number;
}

/** What a log needs. */
export interface DecisionLogOptions {
  /** Name of this VM, on every line. */
  vm: string;
  clock: Clock;
  output?: LogOutput;
  maxQueuedLines?: number;
}

/** Creates a log. */
export default function createDecisionLog(options: DecisionLogOptions): DecisionLog {
  const {
    vm,
    clock,
    output = createFileOutput(STANDARD_OUTPUT),
    maxQueuedLines = DEFAULT_MAX_QUEUED_LINES,
  } = options;
  const queued: string[] = [];
  let waiting: (() => void)[] = [];
  let isWriting = false;
  let dropped = 0;
  let untold = 0;

  function noteLost(lines: number): void {
    dropped += lines;
    untold += lines;
  }

  function writeNext(): void {
    if (queued.length === 0) {
      isWriting = false;
      waiting.forEach((resolve) => resolve());
      waiting = [];
      return;
    }
    isWriting = true;
    const batch = queued.splice(0, MAX_BATCH_LINES);
    if (untold > 0) {
      batch.unshift(toLine(vm, clock, 'lines-dropped', { lines: untold }));
      untold = 0;
    }
    output(batch.join(''), (isWritten = true) => {
      if (!isWritten) {
        noteLost(batch.length);
      }
      writeNext();
    });
  }

  return {
    write(event, fields = {}) {
      if (queued.length >= maxQueuedLines) {
        noteLost(1);
        return;
      }
      queued.push(toLine(vm, clock, event, fields));
      if (!isWriting) {
        isWriting = true;
        setImmediate(writeNext);
      }
    },
    flush() {
      return isWriting ? new Promise((resolve) => waiting.push(resolve)) : Promise.resolve();
    },
    get dropped() {
      return dropped;
    },
  };
}

function toLine(vm: string, clock: Clock, event: string, fields: LogFields): string {
  const steadyMs = Math.round(clock.now());
  return `${JSON.stringify({ time: new Date().toISOString(), steadyMs, vm, event, ...fields })}\n`;
}
