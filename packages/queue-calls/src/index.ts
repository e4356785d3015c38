/** Shares one queue of waiting calls between all VMs for a service with few slots. */
export { default as CallQueue } from './call-queue.js';
export type { CallQueueOptions } from './call-queue.js';
export type { QueueFleet, QueueTarget, QueueTargets } from './queue-ports.js';
export type { QueueMessage } from './queue-messages.js';
export { EQUAL_SHARES, type ShareOrder } from './share-order.js';
