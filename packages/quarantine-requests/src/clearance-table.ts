/** Requests that targets ran without a crash, by the software that ran them. */
import type { Millis } from '@limelead/types';
import type { CrashRecord, RunScope } from './crash-record.js';
import type { RequestIdentity } from './identify-request.js';

/** How long a clearance is remembered, in milliseconds. */
const CLEARANCE_TTL_MS = 120_000;
/**
 * Clearances of a request within this time of each other count as the same one, in
 * milliseconds.
 */
const SAME_CLEARANCE_MS = 1_000;

/** Times of the last clearances. */
export default class ClearanceTable {
  private readonly clearedAtMs = new Map<string, Millis>();

  /**
   * Records a clearance; returns false if it repeats an earlier one.
   * @param scope undefined if it holds for all software, as in updates of earlier releases
   */
  record(request: RequestIdentity, scope: RunScope | undefined, atMs: Millis): boolean {
    const key = keyOf(request, scope);
    const before = this.clearedAtMs.get(key) ?? -Infinity;
    this.clearedAtMs.set(key, Math.max(before, atMs));
    return atMs > before + SAME_CLEARANCE_MS;
  }

  /** Whether the request was cleared after that crash, for the software that crashed. */
  covers(crash: CrashRecord): boolean {
    return crash.endedAtMs <= (this.lastClearedAtMs(crash) ?? -Infinity);
  }

  /** When the software that crashed last ran the request without a crash; undefined if unknown. */
  lastClearedAtMs({ request, service, version }: CrashRecord): Millis | undefined {
    const times = [{ service, version }, undefined].flatMap(
      (scope) => this.clearedAtMs.get(keyOf(request, scope)) ?? [],
    );
    return times.length === 0 ? undefined : Math.max(...times);
  }

  forgetExpired(now: Millis): void {
    for (const [key, atMs] of this.clearedAtMs) {
      if (now - atMs > CLEARANCE_TTL_MS) {
        this.clearedAtMs.delete(key);
      }
    }
  }
}

/** Whether a clearance for that software applies to a crash; an unknown version may be any. */
export function isInScope(scope: RunScope | undefined, { service, version }: RunScope): boolean {
  if (scope === undefined) {
    return true;
  }
  const isVersionKnown = scope.version !== undefined && version !== undefined;
  return scope.service === service && (!isVersionKnown || scope.version === version);
}

function keyOf(request: RequestIdentity, scope: RunScope | undefined): string {
  return scope === undefined ? request : `${request} ${scope.version ?? ''} ${scope.service}`;
}
