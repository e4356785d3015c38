/** Finds requests that end the targets that run them, and keeps them from further ones. */
export {
  default as identifyRequest,
  type IdentifiedRequest,
  type RequestIdentity,
} from './identify-request.js';
