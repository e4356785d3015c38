/**
 * Loaded into a daemon before its program, with a signal as the query of its URL: sends the signal
 * to the process when the modules of the daemon are about to be loaded.
 */
import { register } from 'node:module';

const hooks = `
let isSent = false;
export function initialize({ signal }) {
  globalThis.signal = signal;
}
export function resolve(specifier, context, next) {
  if (!isSent && specifier === '@limelead/daemon') {
    isSent = true;
    process.kill(process.pid, globalThis.signal);
  }
  return next(specifier, context);
}`;
const signal = new URL(import.meta.url).search.slice(1);
register(`data:text/javascript,${encodeURIComponent(hooks)}`, { data: { signal } });
