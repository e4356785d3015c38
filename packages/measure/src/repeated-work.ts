/** Engine work beyond one prefill and one decoding of each answer, from the engines' own records. */
import type { Engine } from '@limelead/stand-ins';

/** Work that was spent again, in tokens. */
export interface RepeatedWork {
  prefillTokens: number;
  decodedTokens: number;
}

/** Compares what the engines did with what callers got. */
export default function measureRepeatedWork(
  engines: Engine[],
  deliveredTokens: number,
): RepeatedWork {
  const records = engines.flatMap((engine) => engine.records());
  const seen = new Set<string>();
  let prefillTokens = 0;
  let decodedTokens = 0;
  for (const { generationId, prefillTokens: prefilled, decodedTokens: decoded } of records) {
    // A generation's id names organisation, request, incarnation and attempt.
    const request = generationId.split('.').slice(0, 2).join('.');
    prefillTokens += seen.has(request) ? prefilled : 0;
    decodedTokens += decoded;
    seen.add(request);
  }
  return { prefillTokens, decodedTokens: decodedTokens - deliveredTokens };
}
