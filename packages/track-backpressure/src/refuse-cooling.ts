/** Whether waiting for the first target whose cooldown ends is in vain. */
import type { Millis } from '@limelead/types';

/** No target of the service takes anything from this VM in time. */
export interface CoolingRefusal {
  kind: 'cooling';
  /** When the first of them does, in milliseconds from now. */
  retryAfterMs: Millis;
  /** Targets of the service, all of which have a cooldown. */
  targets: number;
}

/** A request that waits for a target. */
export interface CoolingWait {
  /** Ends of the cooldowns of all targets of the service; undefined for those that have none. */
  endsMs: readonly (Millis | undefined)[];
  /** Steady time at which the answer has to begin to come. */
  untilMs: Millis;
  now: Millis;
  /** Added to the time that the caller is told, in milliseconds. */
  spreadMs: Millis;
}

/** Undefined while a target is available, or one will be in time. */
export default function refuseCooling({
  endsMs,
  untilMs,
  now,
  spreadMs,
}: CoolingWait): CoolingRefusal | undefined {
  const known = endsMs.filter((endMs) => endMs !== undefined);
  if (known.length === 0 || known.length < endsMs.length) {
    return undefined;
  }
  const firstMs = Math.min(...known);
  return firstMs < untilMs
    ? undefined
    : { kind: 'cooling', retryAfterMs: firstMs - now + spreadMs, targets: known.length };
}
