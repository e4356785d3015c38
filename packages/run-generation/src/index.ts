/** Executes the commands of a generation session against the engine port. */
export { default } from './generation.js';
export type { GenerationDependencies, GenerationStart } from './dependencies.js';
export { default as createTokenGapTable, type TokenGapTable } from './token-gap-table.js';
