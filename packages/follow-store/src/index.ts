/** Follows a part of the platform's store. */
export { default as StoreFollower } from './store-follower.js';
export type { StoreFollowerEvents, StoreFollowerOptions } from './store-follower.js';
export type * from './store-port.js';
