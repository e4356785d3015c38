/** Stores the configuration and its audit trail in the platform's key-value service. */
export { default as createConfigurationStore } from './configuration-store.js';
export type { ConfigurationStore } from './configuration-store.js';
export type { StoredConfiguration } from './stored-head.js';
export { splitIntoParts, type SnapshotPart } from './snapshot.js';
