/** What targets ask for in their answers, and what follows for sends to them. */
import type { HeldRequest } from '@limelead/track-backpressure';
import type { DirectiveResponse, Millis } from '@limelead/types';

/** Is asked on the path of requests, so it may not take long. */
export interface TargetBackpressure {
  onResponse(response: DirectiveResponse): void;
  /** Whether any target has a cooldown; while none has, all may be sent to. */
  readonly isCoolingAny: boolean;
  /** Steady time until which a target wants nothing from this VM; undefined where it takes work. */
  coolingUntilMs(targetId: string): Millis | undefined;
  /** Requests that this VM may have at a target at once, of those that the target takes. */
  limitSlots(targetId: string, slots: number): number;
  /** A request waits, since all targets of its service have cooldowns. */
  onHeld(request: HeldRequest): void;
}

/** Follows nothing. */
export const NO_BACKPRESSURE: TargetBackpressure = {
  onResponse: () => undefined,
  isCoolingAny: false,
  coolingUntilMs: () => undefined,
  limitSlots: (_, slots) => slots,
  onHeld: () => undefined,
};
