/** Records the software versions of services in the platform's store. */
export type { RecordedVersions } from './recorded-versions.js';
export { decodeVersions } from './version-item.js';
export { default as VersionRecord, type VersionRecordOptions } from './version-record.js';
