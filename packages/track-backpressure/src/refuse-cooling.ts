/** Refuses requests that no cooldown ends early enough for. */
import type { Millis } from '@limelead/types';

/** Limit on the targets that a refusal lists. */
const MAX_NAMED_TARGETS = 8;

/** A target of a service; `untilMs` is the end of its cooldown, undefined where it has none. */
export interface TargetCooldown {
  target: string;
  untilMs: Millis | undefined;
}

/** All targets of the service are in a cooldown until it is too late. */
export interface CoolingRefusal {
  kind: 'cooling';
  /** Time until the first cooldown ends, spread included, in milliseconds. */
  retryAfterMs: Millis;
  /** Ids of some of the targets. */
  targets: readonly string[];
}

/** A request that waits for a target. */
export interface CoolingWait {
  /** Of all targets of the service. */
  cooldowns: readonly TargetCooldown[];
  /** Steady time at which the answer has to begin to come. */
  untilMs: Millis;
  now: Millis;
  /** Jitter added to the Retry-After of the caller, in milliseconds. */
  spreadMs: Millis;
}

/** The cooldown that ends first; undefined if any target has none, or there are no targets. */
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

/** Undefined if a target is available, or will be in time. */
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
