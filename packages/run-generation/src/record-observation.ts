/** Counts observed events of a session in the metrics and publishes them on the event bus. */
import type { EventDetail } from '@limelead/types';
import type { GenerationDependencies } from './dependencies.js';

/** Records one observed event; it is built for the bus only if there are subscribers. */
export default function recordObservation(
  dependencies: Pick<GenerationDependencies, 'metrics' | 'bus'>,
  requestId: string,
  detail: EventDetail,
): void {
  countObservation(dependencies, detail);
  dependencies.bus.publish(requestId, () => detail);
}

function countObservation(
  { metrics }: Pick<GenerationDependencies, 'metrics'>,
  detail: EventDetail,
): void {
  switch (detail.kind) {
    case 'targetChosen':
      return metrics.count('limelead_targets_chosen_total');
    case 'streamBroken':
      return metrics.count('limelead_streams_broken_total', 1, { cause: detail.cause });
    case 'recoveryPlanned':
      metrics.count('limelead_recoveries_planned_total', 1, { way: detail.way });
      return metrics.count('limelead_repeated_tokens_total', detail.repeatedTokens);
    case 'streamContinued':
      return metrics.recordMs('limelead_resume_latency_ms', detail.resumeLatencyMs);
    case 'staleTokensDropped':
      return metrics.count('limelead_stale_tokens_total', detail.tokens);
    case 'answerFinished':
      return metrics.count('limelead_answers_finished_total');
    default:
      return undefined;
  }
}
