/** The record of a service at a revision of the store. */
export interface RecordedVersions {
  versions: readonly string[];
  /** Revision that wrote it; 0 if there is no record. */
  revision: number;
}

/** There is no record. */
export const NO_RECORD: RecordedVersions = { versions: [], revision: 0 };
