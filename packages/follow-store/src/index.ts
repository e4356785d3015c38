/** Follows changes of the platform's store. */
export { LARGE_ITEM_BYTES } from './large-items.js';
export { default as PagedList, type ReadPage, type StorePage } from './paged-list.js';
export { default as StoreFollower } from './store-follower.js';
export type {
  RevisionDecrease,
  StoreFollowerEvents,
  StoreFollowerOptions,
} from './store-follower.js';
export * from './store-port.js';
