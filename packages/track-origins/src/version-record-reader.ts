/** What the origins of streams need of the record of versions. */

/** The software versions of each service that the store keeps; see `VersionRecord`. */
export interface VersionRecordReader {
  /** The record as this VM knows it; undefined if it knows none. */
  list(service: string): readonly string[] | undefined;
  /**
   * Reads the record from the store. `receive` is called once, with undefined if there is none, or
   * no answer in time.
   * @returns a function that cancels the read
   */
  read(service: string, receive: (versions: readonly string[] | undefined) => void): () => void;
}
