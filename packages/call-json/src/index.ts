/** HTTP requests to services of the platform. */
export { default as requestText } from './request-text.js';
export { default as createJsonCaller } from './json-caller.js';
export { default as createSingleConnectionClient } from './single-connection-client.js';
export type { JsonCall, JsonCaller, JsonResponse } from './json-caller.js';
