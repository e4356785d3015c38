/** Hashes that are equal on every VM, to spread work without coordination. */
import { createHash } from 'node:crypto';

/** An evenly distributed integer from 0 to 2^32 - 1. */
export function hashText(text: string): number {
  return createHash('sha1').update(text).digest().readUInt32BE(0);
}

/**
 * Mixes two hashes into one of the same range; cheaper than hashing both texts together when one is
 * paired with many others.
 */
export function mixHashes(a: number, b: number): number {
  let mixed = Math.imul(a ^ (b >>> 16) ^ (b << 16), 0x85ebca6b);
  mixed = Math.imul(mixed ^ (mixed >>> 13) ^ b, 0xc2b2ae35);
  return (mixed ^ (mixed >>> 16)) >>> 0;
}
