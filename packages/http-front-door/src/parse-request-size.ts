/** Parses the sizes that a caller states for its prompt and its answer. */
import type { IngressHeaders } from './ingress-dialect.js';

/** Sizes in tokens. */
export type RequestSize = Pick<IngressHeaders, 'promptTokens' | 'maxOutputTokens'>;

/** @param text "tokens in,most tokens out"; numbers that can't be read count as missing */
export default function parseRequestSize(text = ''): RequestSize {
  const [promptTokens, maxOutputTokens] = text.split(',').map((part) => Number.parseInt(part, 10));
  const isOutputKnown = maxOutputTokens !== undefined && maxOutputTokens >= 0;
  return { promptTokens: promptTokens || 0, ...(isOutputKnown ? { maxOutputTokens } : {}) };
}
