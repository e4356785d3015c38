/** What stands for a stream in the store. */
import type { StreamKey } from '@limelead/types';
import { createHash } from 'node:crypto';

/** Bytes of the hash that are used. */
const DIGEST_BYTES = 8;
/** Length of a digest in characters: `DIGEST_BYTES` in base64url without padding. */
export const DIGEST_CHARS = 11;

/** Hash of a stream's service and id; ids themselves are not stored. */
export default function digestStream({ service, streamId }: StreamKey): string {
  const hash = createHash('sha256').update(service).update('\n').update(streamId).digest();
  return hash.toString('base64url', 0, DIGEST_BYTES);
}
