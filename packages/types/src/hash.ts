/** Hashes that are the same on every VM, for spreading work without talking about it. */
import { createHash } from 'node:crypto';

/** A whole number from 0 to 2^32 - 1 that looks random and depends only on the text. */
export function hashText(text: string): number {
  return createHash('sha1').update(text).digest().readUInt32BE(0);
}

/**
 * Mixes two hashes into one of the same range. It takes the place of hashing both
 * texts together where one text meets many others.
 */
export function mixHashes(a: number, b: number): number {
  let mixed = Math.imul(a ^ (b >>> 16) ^ (b << 16), 0x85ebca6b);
  mixed = Math.imul(mixed ^ (mixed >>> 13) ^ b, 0xc2b2ae35);
  return (mixed ^ (mixed >>> 16)) >>> 0;
}
