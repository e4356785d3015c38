import * as assert from 'uvu/assert';
import type { StoreFollowerEvents } from './index.js';

/** Events that a test does not look at. */
export const IGNORED: StoreFollowerEvents = {
  onStepFailed: (thrown) => assert.unreachable(String(thrown)),
  onBehind: () => undefined,
  onList: () => undefined,
  onChanges: () => undefined,
  onLost: () => undefined,
  onCallFailed: () => undefined,
  onRegained: () => undefined,
  onFollowing: () => undefined,
};
