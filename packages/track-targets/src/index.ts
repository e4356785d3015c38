/** What one VM knows of the targets: list evidence, load reports with an age, and its own requests since. */
export * from './target-table.js';
export * from './breaker.js';
export { default as createTargetTable } from './target-table.js';
