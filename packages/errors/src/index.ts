/** The closed list of error kinds, the table from kind to answer, and the error classes. */
export * from './kinds.js';
export * from './classes.js';
