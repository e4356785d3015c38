/** Pure state machine of one generation: maps (state, event, now) to (state, commands). */
export * from './messages.js';
export * from './state.js';
export type { Step } from './step.js';
export { default } from './advance-session.js';
export { default as hasBreaksLeft } from './has-breaks-left.js';
