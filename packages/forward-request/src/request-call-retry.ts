/** Requests the retry that a further attempt of a call needs. */
import type { AdmittedRequest } from './admitted-request.js';
import type AttemptBudget from './attempt-budget.js';
import type { AttemptPurpose } from './attempt-budget.js';
import { MIN_CALL_MS } from './limits.js';
import type { SlotRefusal } from './slot-refusal.js';

/**
 * Requests a retry for a hedge or for the repeat of a failed or rejected call. `onDecision` gets
 * the reason if it is refused. Returns a function that withdraws the request, or undefined if it is
 * decided already.
 */
export default function requestCallRetry(
  budget: AttemptBudget,
  admitted: AdmittedRequest,
  isHedge: boolean,
  onDecision: (refusal?: SlotRefusal) => void,
): (() => void) | undefined {
  let isDecided = false;
  const withdraw = budget.requestAttempt(describePurpose(admitted, isHedge), (decision) => {
    isDecided = true;
    onDecision(decision.outcome === 'granted' ? undefined : { kind: 'no-retry', ...decision });
  });
  return isDecided ? undefined : withdraw;
}

/** A hedge is of no use after the objective; a repeat is until its target has no time left. */
function describePurpose(
  { rank, route, receivedAtMs, dueAtMs }: AdmittedRequest,
  isHedge: boolean,
): AttemptPurpose {
  const lateAtMs = receivedAtMs + route.objectiveMs;
  return {
    class: isHedge ? 'hedge' : 'call-repeat',
    rank,
    lateAtMs,
    untilMs: isHedge ? Math.min(lateAtMs, dueAtMs) : dueAtMs - MIN_CALL_MS,
    refusesEarly: true,
  };
}
