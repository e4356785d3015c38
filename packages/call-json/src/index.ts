/** Single HTTP calls with JSON bodies. */
export { default as createJsonCaller } from './json-caller.js';
export type { JsonCall, JsonCaller, JsonReply } from './json-caller.js';
