/** `limelead watch`: streams the events of a VM. */
import { ObservedEventSchema, type ObservedEvent } from '@limelead/schema';
import { withClient, type ConnectionOptions } from '../../connection.js';
import { EXIT_CODES } from '../../exit-codes.js';
import { printLine, printMessage } from '../../output.js';

/** Options of the command. */
export interface WatchOptions extends ConnectionOptions {
  request?: string;
}

/** Prints events until the stream ends; returns the exit code. */
export default function watch(options: WatchOptions): Promise<number> {
  return withClient(options, async ({ observation, headers }) => {
    const stream = observation.watch({ requestId: options.request ?? '' }, { headers });
    for await (const { event } of stream) {
      if (event.case === 'lost') {
        printLine(`… ${event.value} events dropped because this reader is too slow`);
      } else if (event.case === 'observed') {
        printEvent(event.value, options.json === true);
      }
    }
    return EXIT_CODES.done;
  });
}

function printEvent(event: ObservedEvent, isJson: boolean): void {
  if (isJson) {
    return printMessage(ObservedEventSchema, event);
  }
  const at = new Date(Number(event.atMs)).toISOString();
  const fields = Object.entries(event.detail.value ?? {})
    .filter(([name]) => name !== '$typeName')
    .map(([name, value]) => `${name}=${formatValue(value)}`);
  printLine([at, event.vm, event.requestId || '-', event.detail.case, ...fields].join(' '));
}

function formatValue(value: unknown): string {
  if (typeof value === 'string') {
    return value;
  }
  return JSON.stringify(value, (key, inner: unknown) => {
    if (key === '$typeName') {
      return undefined;
    }
    return typeof inner === 'bigint' ? Number(inner) : inner;
  });
}
