/** Keeps which software version began each stream in the store, where the loss of all VMs leaves it. */
export { default as OriginWriter, type OriginWriterOptions } from './origin-writer.js';
export { decodeSegment, type SegmentOrigins } from './segment-item.js';
export { default as StoredOrigins } from './stored-origins.js';
