/**
 * Writes text and calls `done` when it is ready for more. `isWritten` is false if some of the
 * text was lost, and true by default.
 */
export type LogOutput = (text: string, done: (isWritten?: boolean) => void) => void;
