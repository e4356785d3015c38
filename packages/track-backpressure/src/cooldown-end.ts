/** Jitter for the end of a cooldown, so that VMs do not all return at the same moment. */
import type { Millis, Random } from '@limelead/types';

const JITTER_SHARE = 0.1;
const MAX_JITTER_MS: Millis = 250;

/** Steady time at which a cooldown ends; never earlier than the target requested. */
export default function drawCooldownEnd(delayMs: Millis, now: Millis, random: Random): Millis {
  return now + delayMs + random.next() * Math.min(delayMs * JITTER_SHARE, MAX_JITTER_MS);
}
