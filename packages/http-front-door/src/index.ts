/** The HTTP server for callers: checks, routing, authentication, body, and the answer. */
export { default as HttpFrontDoor, type HttpFrontDoorOptions } from './http-front-door.js';
export { BUFFERED_ANSWER_RANGE } from './answer-buffer-limit.js';
export { default as collectHeaders } from './collect-headers.js';
export { default as withDefaultLimits } from './default-limits.js';
export { default as parseRequestSize } from './parse-request-size.js';
export {
  readRequestId,
  type IngressDialect,
  type IngressHeaders,
  type ProgressHeaders,
} from './ingress-dialect.js';
