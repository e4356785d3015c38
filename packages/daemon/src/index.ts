/** The daemon limeleadd, which runs on every entry VM. */
export { default as startDaemon, type Daemon } from './start-daemon.js';
export type { Runtime, Strategies } from './vm-context.js';
export { default as runLimeleadd } from './run-limeleadd.js';
