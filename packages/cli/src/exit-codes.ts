/** Exit codes, so that scripts can tell failures apart. */
export const EXIT_CODES = {
  done: 0,
  /** A promise broke, or something unforeseen failed. */
  failed: 1,
  /** Arguments or a file do not hold. */
  usage: 2,
  /** The system refused, and says that nothing was run. */
  refused: 3,
  /** Somebody else changed the configuration first. */
  conflict: 4,
  /** Whether the request was run is not known. */
  outcomeUnknown: 5,
} as const;
