/** Cancels a generation at its target, with retries. */
import type { ModelEngine } from '@limelead/ports';
import { delay } from '@limelead/types';
import * as E from 'fp-ts/lib/Either.js';
import type { GenerationDependencies } from './dependencies.js';

/** Delays before the attempts. A paused engine that resumes within their sum is still cancelled. */
const RETRY_DELAYS_MS = [0, 500, 2_000, 8_000, 30_000] as const;

/**
 * Sends the cancellation until the target answers, no longer knows the generation or the
 * retries are used up. The engine ignores it if a newer attempt reads the generation.
 */
export default async function cancelWithRetries(
  dependencies: Pick<GenerationDependencies, 'timers' | 'metrics'>,
  engine: ModelEngine,
  generationId: string,
  attempt: number,
): Promise<void> {
  const { timers, metrics } = dependencies;
  for (const delayMs of RETRY_DELAYS_MS) {
    if (delayMs > 0) {
      await delay(timers, delayMs);
    }
    const outcome = await engine.cancel(generationId, attempt)();
    if (E.isRight(outcome) || outcome.left.reason === 'gone') {
      metrics.count('limelead_engine_cancels_total');
      return;
    }
  }
  metrics.count('limelead_engine_cancels_failed_total');
}
