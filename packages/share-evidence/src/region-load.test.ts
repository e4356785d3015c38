import { test } from 'uvu';
import * as assert from 'uvu/assert';
import RegionLoad, { fromColumns, toColumns } from './region-load.js';
import type { TargetLoad } from './types.js';

function createLoad(id: string, requests: number, slowness = 1): TargetLoad {
  return { id, requests, reading: 1, copies: 0, slowness };
}

test('a region tells the sums of its VMs, the own load included, and none of one that is lost', () => {
  const region = new RegionLoad();
  region.take('a', [createLoad('t2', 2), createLoad('t1', 1, 3)]);
  region.take('b', [createLoad('t1', 4)]);
  const sums = region.sum([createLoad('t1', 1)]);
  assert.equal(sums, [{ ...createLoad('t1', 6, 3), reading: 3 }, createLoad('t2', 2)]);
  assert.equal(fromColumns(toColumns(sums)), sums);
  region.take('a', []);
  assert.equal(region.sum([]), [createLoad('t1', 4)]);
});

test.run();
