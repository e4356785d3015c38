/** The HTTP front door: checks, route, key, body, and the answer back to the caller. */
export { default as HttpFrontDoor, type HttpFrontDoorOptions } from './http-front-door.js';
export { readRequestId, type IngressDialect, type IngressHeaders } from './ingress-dialect.js';
