/** Tokens as a pure function, so that anybody can check an answer token by token. */
import type { ModelVersion } from '@limelead/types';
import { createHash } from 'node:crypto';

const WORDS = ['left', 'right', 'depot', 'main', 'turn', 'stop', 'bow', 'scale', 'slow', 'room'];
/** Answers end by themselves somewhere in the last part of what is allowed. */
const SHORTEST_SHARE = 0.7;
const HASH_SPACE = 2 ** 32;

/** Everything that a token depends on besides its position. */
export interface TokenSource {
  prompt: string;
  modelVersion: ModelVersion;
  seed: number;
}

/** The token at a position. */
export function tokenAt(source: TokenSource, position: number): string {
  const hash = hashOf(source, `token ${position}`);
  const word = WORDS[hash % WORDS.length] ?? '';
  return `${word}-${hash.toString(16)} `;
}

/** Number of tokens in the whole answer, at most `maxTokens`. */
export function answerLength(source: TokenSource, maxTokens: number): number {
  const share = hashOf(source, 'length') / HASH_SPACE;
  const wanted = Math.ceil(maxTokens * (SHORTEST_SHARE + share / 2));
  return Math.max(1, Math.min(maxTokens, wanted));
}

const digests = new WeakMap<TokenSource, string>();

function hashOf(source: TokenSource, what: string): number {
  const digest = digests.get(source) ?? digestOf(source);
  digests.set(source, digest);
  return createHash('md5').update(digest).update(what).digest().readUInt32BE(0);
}

function digestOf({ prompt, modelVersion, seed }: TokenSource): string {
  const { model, adapter, version } = modelVersion;
  return createHash('md5')
    .update(JSON.stringify([prompt, model, adapter, version, seed]))
    .digest('hex');
}
