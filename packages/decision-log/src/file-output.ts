/** Writes to a file descriptor in the background. */
import { write } from 'node:fs';
import type { LogOutput } from './log-output.js';

/** Delay before a write to a full pipe is retried; a reader empties 64 KB in about that time. */
const PIPE_FULL_RETRY_MS = 10;

/** The signature of `fs.write` that is used. */
export type WriteFunction = (
  file: number,
  bytes: Buffer,
  done: (error: NodeJS.ErrnoException | null, written: number) => void,
) => void;

/** Creates the output. Continues after partial writes and retries while a non-blocking pipe is full. */
export default function createFileOutput(
  file: number,
  writeBytes: WriteFunction = write,
): LogOutput {
  function writeAll(bytes: Buffer, done: (isWritten: boolean) => void): void {
    writeBytes(file, bytes, (error, written) => {
      if (error?.code === 'EAGAIN') {
        setTimeout(() => writeAll(bytes, done), PIPE_FULL_RETRY_MS);
      } else if (error !== null) {
        done(false);
      } else if (written < bytes.length) {
        writeAll(bytes.subarray(written), done);
      } else {
        done(true);
      }
    });
  }
  return (text, done) => writeAll(Buffer.from(text), done);
}
