/** Which software versions began the streams that callers resume. */
import type { OriginLookup, StreamKey, StreamOrigin } from '@limelead/types';

/** What forwarding asks of the origins of streams. */
export interface StreamOrigins {
  /** Records the version that wrote the first piece of a stream. */
  record(origin: StreamOrigin): void;
  /** Forgets a stream that ended well. */
  forget(streamId: string): void;
  /**
   * Finds the version that began a stream. `receive` is called once, at once if this VM knows it.
   * @returns a function that cancels the search
   */
  find(
    query: StreamKey & { requestId: string },
    receive: (lookup: OriginLookup) => void,
  ): () => void;
}

/** For targets that state no version. */
export const NO_VERSIONS: StreamOrigins = {
  record: () => undefined,
  forget: () => undefined,
  find(_, receive) {
    receive({ outcome: 'only-version', softwareVersion: '' });
    return () => undefined;
  },
};
