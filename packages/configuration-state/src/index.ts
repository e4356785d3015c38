/** The operators' configuration as immutable data: validates changes, applies them and detects conflicts. */
export * from './codecs.js';
export * from './configuration.js';
export { default as planChange, type ChangeRefusal } from './plan-change.js';
