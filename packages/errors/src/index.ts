/** The complete list of error kinds, the answer to callers for each kind, and the error classes. */
export * from './kinds.js';
export * from './classes.js';
export { default as findConnection } from './find-connection.js';
