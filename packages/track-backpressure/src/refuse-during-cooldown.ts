/**
 * Refuses requests that can't be sent before their deadline because all targets are in a cooldown.
 */
import type { Millis } from '@limelead/types';

/** Maximum number of targets that a refusal lists. */
const MAX_LISTED_TARGETS = 8;

/** A target and the end of its cooldown, undefined without one. */
export interface TargetCooldown {
  target: string;
  untilMs: Millis | undefined;
}

/** All targets of the service are in a cooldown for too long. */
export interface CooldownRefusal {
  kind: 'cooling';
  /** Time until the first cooldown ends, including jitter, in milliseconds. */
  retryAfterMs: Millis;
  /** Ids of some of the targets. */
  targets: readonly string[];
}

/** A request that waits for a target. */
export interface CooldownWait {
  /** Cooldowns of all targets of the service. */
  cooldowns: readonly TargetCooldown[];
  /** Steady time by which the response must begin. */
  untilMs: Millis;
  now: Millis;
  /** Jitter added to the caller's `Retry-After`, in milliseconds. */
  jitterMs: Millis;
}

/** The cooldown that ends first; undefined if any target has none, or if there are no targets. */
export function findEarliestCooldownEnd(
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

/** Returns undefined if a target is available, or will be in time. */
export default function refuseDuringCooldown({
  cooldowns,
  untilMs,
  now,
  jitterMs,
}: CooldownWait): CooldownRefusal | undefined {
  const first = findEarliestCooldownEnd(cooldowns);
  if (first === undefined || first.untilMs < untilMs) {
    return undefined;
  }
  const targets = cooldowns.slice(0, MAX_LISTED_TARGETS).map(({ target }) => target);
  return { kind: 'cooling', retryAfterMs: first.untilMs - now + jitterMs, targets };
}
