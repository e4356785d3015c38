/**
 * Structured log of decisions, one JSON object per line. While the output is slow, lines wait
 * in a bounded queue; lines that exceed it are dropped, and their number is logged afterwards.
 */
import type { Clock } from '@limelead/types';
import createFileOutput from './file-output.js';
import type { LogOutput } from './log-output.js';

export { default as createRateLimitedLog, type RateLimitedLog } from './rate-limited-log.js';
export type { LogOutput } from './log-output.js';

const STANDARD_OUTPUT = 1;
const DEFAULT_MAX_QUEUED_LINES = 2_000;
/** Lines per write to the output. */
const MAX_BATCH_LINES = 200;

/** Fields of a log line. */
export type LogFields = Readonly<
  Record<string, string | number | boolean | readonly (string | number)[] | undefined>
>;

/** Writes log lines without blocking. */
export interface DecisionLog {
  /** Queues a line; `event` names the decision. */
  write(event: string, fields?: LogFields): void;
  /** Resolves when all queued lines are written. */
  flush(): Promise<void>;
  /** Total number of dropped lines. */
  readonly dropped: number;
}

/** Options of a decision log. */
export interface DecisionLogOptions {
  /** Name of this VM, included in every line. */
  vm: string;
  clock: Clock;
  output?: LogOutput;
  maxQueuedLines?: number;
}

/** Creates a log that writes to standard output by default. */
export default function createDecisionLog(options: DecisionLogOptions): DecisionLog {
  const {
    vm,
    clock,
    output = createFileOutput(STANDARD_OUTPUT),
    maxQueuedLines = DEFAULT_MAX_QUEUED_LINES,
  } = options;
  const queued: string[] = [];
  let flushWaiters: (() => void)[] = [];
  let isWriting = false;
  let dropped = 0;
  let unreported = 0;

  function recordDropped(lines: number): void {
    dropped += lines;
    unreported += lines;
  }

  function writeNext(): void {
    if (queued.length === 0) {
      isWriting = false;
      flushWaiters.forEach((resolve) => resolve());
      flushWaiters = [];
      return;
    }
    isWriting = true;
    const batch = queued.splice(0, MAX_BATCH_LINES);
    if (unreported > 0) {
      batch.unshift(toLine(vm, clock, 'lines-dropped', { lines: unreported }));
      unreported = 0;
    }
    output(batch.join(''), (isWritten = true) => {
      if (!isWritten) {
        recordDropped(batch.length);
      }
      writeNext();
    });
  }

  return {
    write(event, fields = {}) {
      if (queued.length >= maxQueuedLines) {
        recordDropped(1);
        return;
      }
      queued.push(toLine(vm, clock, event, fields));
      if (!isWriting) {
        isWriting = true;
        setImmediate(writeNext);
      }
    },
    flush() {
      return isWriting ? new Promise((resolve) => flushWaiters.push(resolve)) : Promise.resolve();
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
