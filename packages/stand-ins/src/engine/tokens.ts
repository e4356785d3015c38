/** Computes tokens as a pure function, so that tests can check each token of an answer. */
import type { ModelVersion } from '@limelead/types';
import { createHash } from 'node:crypto';

const WORDS = ['left', 'right', 'depot', 'main', 'turn', 'stop', 'bow', 'scale', 'slow', 'room'];
/** Shortest answer as a share of `maxTokens`. */
const MIN_LENGTH_SHARE = 0.7;
const HASH_SPACE = 2 ** 32;

/** Inputs of a token besides its position. */
export interface TokenSource {
  prompt: string;
  modelVersion: ModelVersion;
  seed: number;
}

/** Returns the token at a position of the answer. */
export function tokenAt(source: TokenSource, position: number): string {
  const hash = hashOf(source, `token ${position}`);
  const word = WORDS[hash % WORDS.length] ?? '';
  return `${word}-${hash.toString(16)} `;
}

/** Returns the number of tokens in the complete answer, at most `maxTokens`. */
export function answerLength(source: TokenSource, maxTokens: number): number {
  const share = hashOf(source, 'length') / HASH_SPACE;
  const length = Math.ceil(maxTokens * (MIN_LENGTH_SHARE + share / 2));
  return Math.max(1, Math.min(maxTokens, length));
}

const digests = new WeakMap<TokenSource, string>();

function hashOf(source: TokenSource, purpose: string): number {
  const digest = digests.get(source) ?? digestOf(source);
  digests.set(source, digest);
  return createHash('md5').update(digest).update(purpose).digest().readUInt32BE(0);
}

function digestOf({ prompt, modelVersion, seed }: TokenSource): string {
  const { model, adapter, version } = modelVersion;
  return createHash('md5')
    .update(JSON.stringify([prompt, model, adapter, version, seed]))
    .digest('hex');
}
