/** Estimates how long answers take. Pure. */
import type { Millis, ServingRoute } from '@limelead/types';

/** Expected duration of a stream. While draining, requests expected to exceed the deadline are refused. */
const EXPECTED_STREAM_MS = 5_500;

/** Expected time until an answer on that route is complete. */
export default function estimateAnswerMs({ streaming, timeoutMs }: ServingRoute): Millis {
  return streaming ? EXPECTED_STREAM_MS : Math.min(timeoutMs, EXPECTED_STREAM_MS);
}
