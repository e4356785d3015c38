/**
 * Writes text somewhere, and says when it is ready for more, and whether all of it
 * was written; left out, it was.
 */
export type LogOutput = (text: string, done: (isWritten?: boolean) => void) => void;
