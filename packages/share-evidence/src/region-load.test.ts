import { test } from 'uvu';
import * as assert from 'uvu/assert';
import RegionLoad, { fromColumns, type RegionLoadColumns } from './region-load.js';
import type { TargetLoad } from './types.js';

function createLoad(id: string, requests: number, slowness = 1): TargetLoad {
  return { id, requests, reading: 1, copies: 0, slowness };
}

function create() {
  const state = { readers: ['x', 'y'], own: [createLoad('t1', 1)] };
  const told: { peers: string[]; load: RegionLoadColumns }[] = [];
  const region = new RegionLoad({
    timers: { after: () => () => undefined },
    readOwnLoad: () => state.own,
    listReaders: () => state.readers,
    tell: (peers, load) => told.push({ peers, load }),
  });
  return { region, state, told };
}

test('a region tells the sums of its VMs, the own load included, and none of one that is lost', () => {
  const { region, state, told } = create();
  region.take('a', [createLoad('t2', 2), createLoad('t1', 1, 3)]);
  region.take('b', [createLoad('t1', 4)]);
  region.tellAll();
  region.tellAll();
  assert.equal(
    told.map(({ peers }) => peers),
    [['x', 'y']],
  );
  const sums = [{ ...createLoad('t1', 6, 3), reading: 3 }, createLoad('t2', 2)];
  assert.equal(told[0] && fromColumns(told[0].load), sums);
  state.own = [];
  region.take('a', []);
  region.tellAll();
  assert.equal(told[1] && fromColumns(told[1].load), [createLoad('t1', 4)]);
});

test('a VM that speaks for its region no longer takes back what it told', () => {
  const { region, state, told } = create();
  region.tellAll();
  state.readers = [];
  region.tellAll();
  assert.equal(told.at(-1)?.peers, ['x', 'y']);
  assert.equal(told.at(-1)?.load.targets, []);
});

test.run();
