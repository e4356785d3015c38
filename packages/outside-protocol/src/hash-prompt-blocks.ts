/** The hash under which engines publish the prefixes in their caches. */
import { createHash } from 'node:crypto';

/** Characters of a prompt in one cached block. */
export const BLOCK_CHARACTERS = 64;
const HASH_CHARACTERS = 16;

/**
 * Hashes every prefix of the prompt that ends at a block boundary, shortest
 * first. Each hash covers all blocks before it, so equal hashes mean equal
 * prefixes. A last block that is not full is left out.
 */
export default function hashPromptBlocks(prompt: string): string[] {
  const hashes: string[] = [];
  let previous = '';
  for (let end = BLOCK_CHARACTERS; end <= prompt.length; end += BLOCK_CHARACTERS) {
    const block = prompt.slice(end - BLOCK_CHARACTERS, end);
    previous = createHash('sha1').update(previous).update(block).digest('hex');
    previous = previous.slice(0, HASH_CHARACTERS);
    hashes.push(previous);
  }
  return hashes;
}
