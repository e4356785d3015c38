/** What the origins of streams need of the store. */
import type { StreamKey, StreamOrigin } from '@limelead/types';

/** Keeps origins beyond the loss of all VMs. */
export interface OriginStore {
  /** @param isOwn whether this VM served the stream; else a peer told it */
  add(origin: StreamOrigin, isOwn: boolean): void;
  /** Handles that a stream ended well, so that nobody resumes it. */
  forget(streamId: string): void;
  /** The version that began a stream; undefined if unknown. */
  find(stream: StreamKey): string | undefined;
}
