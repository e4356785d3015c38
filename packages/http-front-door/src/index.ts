/** The HTTP server for callers: checks, routing, authentication, body, and the answer. */
export { default as HttpFrontDoor, type HttpFrontDoorOptions } from './http-front-door.js';
export { MAX_BUFFERED_ANSWER_BYTES, MIN_BUFFERED_ANSWER_BYTES } from './answer-buffer-limit.js';
export { readRequestId, type IngressDialect, type IngressHeaders } from './ingress-dialect.js';
