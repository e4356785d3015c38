import * as assert from 'uvu/assert';
import type { StoreFollowerEvents } from './index.js';

/** Callbacks that ignore all events, except that failed processing fails the test. */
export const IGNORED_EVENTS: StoreFollowerEvents = {
  onProcessingFailed: (thrown) => assert.unreachable(String(thrown)),
  onRevisionDecreased: () => undefined,
  onList: () => undefined,
  onChanges: () => undefined,
  onLost: () => undefined,
  onCallFailed: () => undefined,
  onRegained: () => undefined,
  onFollowingChanged: () => undefined,
};
