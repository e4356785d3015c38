/** The hashes by which engines identify the prompt prefixes in their caches. */
import { createHash } from 'node:crypto';

/** Number of prompt characters in a block of an engine's prefix cache. */
export const PROMPT_BLOCK_CHARACTERS = 64;
const HASH_CHARACTERS = 16;

/**
 * Hashes every prefix of the prompt that ends at a block boundary, shortest first. Each hash
 * covers all earlier blocks, so equal hashes mean equal prefixes. An incomplete last block is
 * ignored.
 */
export default function hashPromptBlocks(prompt: string): string[] {
  const hashes: string[] = [];
  let previousHash = '';
  for (let end = PROMPT_BLOCK_CHARACTERS; end <= prompt.length; end += PROMPT_BLOCK_CHARACTERS) {
    const block = prompt.slice(end - PROMPT_BLOCK_CHARACTERS, end);
    previousHash = createHash('sha1').update(previousHash).update(block).digest('hex');
    previousHash = previousHash.slice(0, HASH_CHARACTERS);
    hashes.push(previousHash);
  }
  return hashes;
}
