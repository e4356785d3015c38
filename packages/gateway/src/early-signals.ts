/**
 * Imported before all other modules: without a listener, a signal that arrives while they load ends
 * the process. Loading does not return to the event loop, so such a signal is handled by the
 * listeners that the program adds: SIGHUP reloads the settings, SIGTERM stops the gateway.
 */
const ignore = (): void => undefined;

process.on('SIGHUP', ignore);
process.on('SIGTERM', ignore);
