/** Reads JSON with comments, checks it against an io-ts codec, and names file, line and key of each fault. */
export { default } from './decode-with-lines.js';
export { default as closed, type Closed } from './closed.js';
export { addressCodec } from './address.js';
export * from './refinements.js';
