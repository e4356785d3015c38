/** Whether waiting for the first target whose cooldown ends is in vain. */
import type { Millis } from '@limelead/types';

/** Targets that a refusal names at most. */
const MAX_NAMED_TARGETS = 8;

/** A target of a service; `untilMs` is the end of its cooldown, undefined where it has none. */
export interface TargetCooldown {
  target: string;
  untilMs: Millis | undefined;
}

/** No target of the service takes anything from this VM in time. */
export interface CoolingRefusal {
  kind: 'cooling';
  /** When the first of them does, in milliseconds from now. */
  retryAfterMs: Millis;
  /** Some of the targets, all of which have a cooldown. */
  targets: readonly string[];
}

/** A request that waits for a target. */
export interface CoolingWait {
  /** Of all targets of the service. */
  cooldowns: readonly TargetCooldown[];
  /** Steady time at which the answer has to begin to come. */
  untilMs: Millis;
  now: Millis;
  /** Added to the time that the caller is told, in milliseconds. */
  spreadMs: Millis;
}

/** The cooldown that ends first; undefined while a target has none, or there is no target. */
export function findFirstEnd(
  cooldowns: readonly TargetCooldown[],
): { target: string; untilMs: Millis } | undefined {
  let first: { target: string; untilMs: Millis } | undefined;
  for (const { target, untilMs } of cooldowns) {
    if (untilMs === undefined) {
      return undefined;
    }
    if (first === undefined || untilMs < first.untilMs) {
      first = { target, untilMs };
    }
  }
  return first;
}

/** Undefined while a target is available, or one will be in time. */
export default function refuseCooling({
  cooldowns,
  untilMs,
  now,
  spreadMs,
}: CoolingWait): CoolingRefusal | undefined {
  const first = findFirstEnd(cooldowns);
  if (first === undefined || first.untilMs < untilMs) {
    return undefined;
  }
  const targets = cooldowns.slice(0, MAX_NAMED_TARGETS).map(({ target }) => target);
  return { kind: 'cooling', retryAfterMs: first.untilMs - now + spreadMs, targets };
}
