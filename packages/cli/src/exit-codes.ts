/** Exit codes of limelead. */
export const EXIT_CODES = {
  done: 0,
  /** The command failed, or the demonstration found a violated guarantee. */
  failed: 1,
  /** Arguments or a file are invalid. */
  usage: 2,
  /** The request was refused and was not run. */
  refused: 3,
  /** Another operator changed the configuration first. */
  conflict: 4,
  /** It is unknown whether the request was run. */
  outcomeUnknown: 5,
} as const;
