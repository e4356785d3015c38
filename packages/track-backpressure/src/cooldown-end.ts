/** When a cooldown ends: VMs that were turned away together don't come back together. */
import type { Millis, Random } from '@limelead/types';

const JITTER_SHARE = 0.1;
const MAX_JITTER_MS: Millis = 250;

/** The end, never before the time that the target named. */
export default function drawCooldownEnd(delayMs: Millis, now: Millis, random: Random): Millis {
  return now + delayMs + random.next() * Math.min(delayMs * JITTER_SHARE, MAX_JITTER_MS);
}
