/** The HTTP server for callers: checks, routing, authentication, body, and the answer. */
export { default as HttpFrontDoor, type HttpFrontDoorOptions } from './http-front-door.js';
export { BUFFERED_ANSWER_RANGE } from './answer-buffer-limit.js';
export { readRequestId, type IngressDialect, type IngressHeaders } from './ingress-dialect.js';
