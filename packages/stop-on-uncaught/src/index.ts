/** Stops a process in the planned way behind an exception that nothing caught. */
import type { Millis } from '@limelead/types';

const FAULT_EXIT_CODE = 1;

/** The server that runs in the process. */
export interface StoppableServer {
  /** Logs and counts the exception. */
  reportUncaught(thrown: unknown): void;
  /** Drains and closes; each call resolves at the end of the stop. */
  stop(): Promise<void>;
}

/** Ends the process with exit code 1 once the server has stopped, at the latest after `limitMs`. */
export default function stopOnUncaught(server: StoppableServer, limitMs: Millis): void {
  process.on('uncaughtException', (error) => {
    server.reportUncaught(error);
    process.exitCode = FAULT_EXIT_CODE;
    setTimeout(() => process.exit(), limitMs).unref();
    void server.stop().finally(() => process.exit());
  });
}
