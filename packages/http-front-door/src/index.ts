/** The HTTP front door: checks, route, key, body, and the answer back to the caller. */
export { default as HttpFrontDoor, type HttpFrontDoorOptions } from './http-front-door.js';
export { readRequestId, type IngressDialect, type IngressFacts } from './ingress-dialect.js';
