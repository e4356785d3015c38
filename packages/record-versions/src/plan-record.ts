/** Decides which software versions the record of a service has to hold. */

/** The versions of one service. */
export interface RecordCase {
  recorded: readonly string[];
  /** Versions that have targets and are to be recorded. */
  wanted: ReadonlySet<string>;
  /** Whether a recorded version has targets again that had none since the record was written. */
  hasReturned(version: string): boolean;
  /** Whether no stream can be left that a version without targets began. */
  isExpired(version: string): boolean;
}

/**
 * Returns the versions to write, sorted; undefined if the record is right as it is. A version that
 * has returned is written again, so that a removal which was decided before fails.
 */
export default function planRecord({
  recorded,
  wanted,
  hasReturned,
  isExpired,
}: RecordCase): string[] | undefined {
  const kept = recorded.filter((version) => !isExpired(version));
  const missing = [...wanted].filter((version) => !kept.includes(version));
  const isRight =
    missing.length === 0 && kept.length === recorded.length && !recorded.some(hasReturned);
  return isRight ? undefined : [...kept, ...missing].sort();
}
