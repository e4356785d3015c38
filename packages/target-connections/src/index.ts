/** Pools HTTP connections to targets and reports for each failed call whether the target may have received it. */
export { default as TargetConnections } from './target-connections.js';
export type { SendOptions, TargetConnectionsOptions } from './target-connections.js';
export { default as AnswerMeter, AnswerExcessError, type AnswerExcess } from './answer-meter.js';
export { default as createConnector } from './create-connector.js';
export type { AnswerHead, CallEvents, OpenCall, TargetCall } from './target-connection.js';
