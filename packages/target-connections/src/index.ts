/** Connections to targets: caps, ages, one request at a time, and what is certain about a failed call. */
export { default as TargetConnections } from './target-connections.js';
export type { SendOptions, TargetConnectionsOptions } from './target-connections.js';
export { default as createConnector } from './create-connector.js';
export type { AnswerHead, CallEvents, OpenCall, TargetCall } from './target-connection.js';
