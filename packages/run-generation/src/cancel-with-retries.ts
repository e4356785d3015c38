/** Cancels a generation at its target, again and again while the target does not answer. */
import type { ModelEngine } from '@limelead/ports';
import { delay } from '@limelead/types';
import * as E from 'fp-ts/lib/Either.js';
import type { GenerationDependencies } from './dependencies.js';

/** Milliseconds between tries; a paused engine that wakes within their sum stops working. */
const RETRY_DELAYS_MS = [0, 500, 2_000, 8_000, 30_000] as const;

/** Tries until the target answered or is gone. The engine ignores it under a newer attempt. */
export default async function cancelWithRetries(
  dependencies: Pick<GenerationDependencies, 'timers' | 'metrics'>,
  engine: ModelEngine,
  generationId: string,
  attempt: number,
): Promise<void> {
  const { timers, metrics } = dependencies;
  for (const waitMs of RETRY_DELAYS_MS) {
    if (waitMs > 0) {
      await delay(timers, waitMs);
    }
    const outcome = await engine.cancel(generationId, attempt)();
    if (E.isRight(outcome) || outcome.left.reason === 'gone') {
      metrics.count('limelead_engine_cancels_total');
      return;
    }
  }
  metrics.count('limelead_engine_cancels_failed_total');
}
