/** Finds the states of a service that held while one of its requests was in progress. Pure. */
import type { LogLine } from './log-line.js';

/** Events that state a change of a service, each with the field that is true while the state holds. */
const STATE_FIELDS: Record<string, string> = {
  'service-queued': 'isOn',
  'call-queue-alone': 'isAlone',
};

/** Events of a request that waited for a place, so that the state of its service matters. */
const PLACE_EVENTS: ReadonlySet<string> = new Set(['call-queued', 'queue-refused']);

/** Whether a line that names no request may be needed to explain one. */
export function isServiceState(text: string): boolean {
  return Object.keys(STATE_FIELDS).some((event) => text.includes(`"${event}"`));
}

/**
 * Returns the lines that began a state which held between the first and the last line of the
 * request. Lines of several VMs are compared by `time`, since `steadyMs` counts for one machine.
 * @param requestLines lines of one request
 * @param stateLines lines of any service and VM, in the order in which each VM wrote them
 */
export default function findServiceStates(
  requestLines: readonly LogLine[],
  stateLines: readonly LogLine[],
): LogLine[] {
  const placeLines = requestLines.filter(({ event }) => PLACE_EVENTS.has(event));
  const services = new Set(placeLines.map(({ service }) => service));
  const vms = new Set(placeLines.map(({ vm }) => vm));
  const times = requestLines.map(readTimeMs);
  const [fromMs, untilMs] = [Math.min(...times), Math.max(...times)];
  const held = new Map<string, LogLine>();
  for (const line of stateLines) {
    const { event, vm, service } = line;
    const field = STATE_FIELDS[event];
    // Another VM that keeps to its own part does not concern this request.
    const isOther = event === 'call-queue-alone' && !vms.has(vm);
    const atMs = readTimeMs(line);
    if (field === undefined || isOther || !services.has(service) || !(atMs <= untilMs)) {
      continue;
    }
    const key = `${event} ${vm} ${String(service)}`;
    if (line[field] === true) {
      held.set(key, line);
    } else if (atMs < fromMs) {
      held.delete(key);
    }
  }
  return [...held.values()];
}

function readTimeMs({ time }: LogLine): number {
  return typeof time === 'number' ? time : Date.parse(String(time));
}
