/** Single HTTP calls with JSON bodies. */
export { default as requestText } from './request-text.js';
export { default as createJsonCaller } from './json-caller.js';
export { default as createSingleConnection } from './single-connection.js';
export type { JsonCall, JsonCaller, JsonReply } from './json-caller.js';
