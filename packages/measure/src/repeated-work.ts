/** Measures engine work beyond one prefill and one decoding of each answer. */
import type { Engine } from '@limelead/stand-ins';

/** Repeated work in tokens. */
export interface RepeatedWork {
  prefillTokens: number;
  decodedTokens: number;
}

/** Compares the engines' records with the tokens delivered to callers. */
export default function measureRepeatedWork(
  engines: Engine[],
  deliveredTokens: number,
): RepeatedWork {
  const records = engines.flatMap((engine) => engine.records());
  const seenRequests = new Set<string>();
  let prefillTokens = 0;
  let decodedTokens = 0;
  for (const { generationId, prefillTokens: prefilled, decodedTokens: decoded } of records) {
    // A generation ID consists of organisation, request, incarnation and attempt.
    const request = generationId.split('.').slice(0, 2).join('.');
    prefillTokens += seenRequests.has(request) ? prefilled : 0;
    decodedTokens += decoded;
    seenRequests.add(request);
  }
  return { prefillTokens, decodedTokens: decodedTokens - deliveredTokens };
}
