/** Reads JSON with comments, checks it against an io-ts codec, and names file, line and key of each fault. */
export { default } from './decode-jsonc.js';
export { default as strictObject, type StrictObject } from './strict-object.js';
export { addressCodec } from './address.js';
export * from './refinements.js';
