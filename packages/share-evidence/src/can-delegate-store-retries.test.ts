import { test } from 'uvu';
import * as assert from 'uvu/assert';
import canDelegateStoreRetries from './can-delegate-store-retries.js';

const RELYING = {
  isLargeFleet: true,
  isStoreFollower: false,
  linkedPeers: 12,
  needsLargeConfiguration: false,
};

test('a VM of a large fleet leaves the retries to the VMs that follow the store', () => {
  assert.ok(canDelegateStoreRetries(RELYING));
  assert.not(canDelegateStoreRetries({ ...RELYING, isLargeFleet: false }));
  assert.not(canDelegateStoreRetries({ ...RELYING, isStoreFollower: true }));
});

test('a VM retries itself when no peer could inform it, or when it needs a large configuration', () => {
  assert.not(canDelegateStoreRetries({ ...RELYING, linkedPeers: 0 }));
  assert.not(canDelegateStoreRetries({ ...RELYING, needsLargeConfiguration: true }));
});

test.run();
