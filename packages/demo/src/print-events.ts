/** Prints the events of a VM as sentences, from the event stream for operators. */
import { createClient } from '@limelead/client';
import type { ObservedEvent } from '@limelead/schema';
import { DEMO_KEYS } from './demo-configuration.js';

/** Kinds of events that are printed. */
const PRINTED_EVENTS = new Set<string>([
  'streamBroken',
  'recoveryPlanned',
  'streamContinued',
  'staleTokensDropped',
  'breakerChanged',
  'targetChanged',
  'membershipChanged',
]);

/** Prints the events of one VM until its stream ends. */
export default async function printEvents(
  url: string,
  print: (line: string) => void,
  signal: AbortSignal,
): Promise<void> {
  const client = createClient({ urls: [url], key: DEMO_KEYS.operator });
  try {
    for await (const { event } of client.observation.watch(
      {},
      { headers: client.headers, signal },
    )) {
      if (event.case === 'observed' && PRINTED_EVENTS.has(event.value.detail.case ?? '')) {
        print(describe(event.value));
      }
    }
  } catch {
    // A fault or the end of the demonstration stopped the VM.
  } finally {
    await client.close();
  }
}

function describe({ vm, requestId, detail }: ObservedEvent): string {
  const subject = requestId === '' ? vm : `${vm} ${requestId}`;
  return `${subject}: ${describeDetail(detail)}`;
}

function describeDetail(detail: ObservedEvent['detail']): string {
  switch (detail.case) {
    case 'streamBroken': {
      const { target, cause, delivered } = detail.value;
      return `stream from ${target} broke (${cause}) after ${delivered} tokens`;
    }
    case 'recoveryPlanned': {
      const { way, reason, repeatedTokens } = detail.value;
      return `recovery plan: ${way}, because ${reason}; recomputes ${repeatedTokens} tokens`;
    }
    case 'streamContinued': {
      const { target, attempt, resumeLatencyMs } = detail.value;
      return `stream continues from ${target}, attempt ${attempt}, after ${resumeLatencyMs} ms`;
    }
    case 'staleTokensDropped':
      return `dropped ${detail.value.tokens} tokens of the old attempt ${detail.value.attempt}`;
    case 'breakerChanged':
      return `breaker of ${detail.value.target} is ${detail.value.state} (${detail.value.source})`;
    case 'targetChanged':
      return `target ${detail.value.target} is ${detail.value.state}`;
    case 'membershipChanged':
      return `peer ${detail.value.subject} is ${detail.value.state}`;
    default:
      return detail.case ?? '';
  }
}
