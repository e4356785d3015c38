import type { DecisionLog } from '@limelead/decision-log';
import type { Metrics } from '@limelead/metrics';
import type { AnswerExcess } from '@limelead/target-connections';
import type { ServiceTarget } from '@limelead/types';

/** Reports an answer whose connection was closed at a limit on what is no body. */
export default function reportAnswerExcess(
  log: Pick<DecisionLog, 'write'>,
  metrics: Metrics,
  target: ServiceTarget,
  { part, size, limit }: AnswerExcess,
): void {
  metrics.count('limelead_answer_excesses_total', 1, { part });
  log.write('answer-excess', { target: target.id, service: target.service, part, size, limit });
}
