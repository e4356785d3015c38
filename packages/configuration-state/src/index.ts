/** Operators' configuration as plain data: checks a change, applies it, detects conflicts. */
export * from './codecs.js';
export * from './configuration.js';
export { default as planChange, type ChangeRefusal } from './plan-change.js';
