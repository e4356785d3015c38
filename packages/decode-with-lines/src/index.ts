/** Parses JSON with comments, validates it with an io-ts codec, and reports file, line and key of each fault. */
export { default } from './decode-jsonc.js';
export { default as decodeJson } from './decode-json.js';
export { default as strictObject, type StrictObject } from './strict-object.js';
export { addressCodec } from './address.js';
export * from './refinements.js';
