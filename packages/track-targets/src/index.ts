/**
 * Targets as one VM knows them: from the list of VMs, from load reports, and from its own requests.
 */
export * from './target-table.js';
export * from './breaker.js';
export { default as createTargetTable } from './target-table.js';
