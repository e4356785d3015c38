/** Creates records in place of the crashes before a quarantine that ended. */
import type { Millis } from '@limelead/types';
import type { CrashRecord, Quarantine } from './crash-record.js';
import type { RequestIdentity } from './identify-request.js';

export default function createPlaceholderCrashes(
  request: RequestIdentity,
  { service, caller }: Quarantine,
  count: number,
  now: Millis,
): CrashRecord[] {
  return Array.from({ length: count }, (_, index) => {
    const atMs = now - (count - index);
    // Named by the request, since the end of a target may count for several requests.
    const target = `before-${index + 1}-${request}`;
    return { request, service, caller, target, startedAtMs: atMs, endedAtMs: atMs };
  });
}
