/**
 * Signals that arrive before the daemon has started. Imports nothing, so that it is loaded before
 * the modules that take long.
 */
let isStopRequested = false;
let notifyStop = (): void => undefined;

/**
 * Keeps signals from ending the process at once. SIGHUP is ignored, since the daemon reads its
 * settings at the start only; a request to stop is remembered until there is a handler.
 */
export function keepSignals(): void {
  const requestStop = (): void => {
    isStopRequested = true;
    notifyStop();
  };
  process.on('SIGTERM', requestStop);
  process.on('SIGINT', requestStop);
  process.on('SIGHUP', () => undefined);
}

/** Calls the handler at each request to stop, and now if there was one already. */
export function onStopRequested(handler: () => void): void {
  notifyStop = handler;
  if (isStopRequested) {
    handler();
  }
}
