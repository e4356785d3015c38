/** Cooldowns and slot limits that follow from the directives of targets. */
import type { HeldRequest } from '@limelead/track-backpressure';
import type { DirectiveResponse, Millis } from '@limelead/types';

/** Back pressure of targets. Called for each request, so it must be fast. */
export interface TargetBackpressure {
  onResponse(response: DirectiveResponse): void;
  /** True if any target has a cooldown. */
  readonly hasCooldowns: boolean;
  /** Steady time at which the cooldown of a target ends; undefined without one. */
  cooldownUntilMs(targetId: string): Millis | undefined;
  /** Limits the concurrent requests of this VM at a target, for example during slow start. */
  limitSlots(targetId: string, slots: number): number;
  /** Called when a request waits because all targets of its service have cooldowns. */
  onHeld(request: HeldRequest): void;
}

/** Ignores all directives. */
export const NO_BACKPRESSURE: TargetBackpressure = {
  onResponse: () => undefined,
  hasCooldowns: false,
  cooldownUntilMs: () => undefined,
  limitSlots: (_, slots) => slots,
  onHeld: () => undefined,
};
