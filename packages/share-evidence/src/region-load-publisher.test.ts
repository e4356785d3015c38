import { test } from 'uvu';
import * as assert from 'uvu/assert';
import RegionLoadPublisher, {
  fromColumns,
  type RegionLoadColumns,
} from './region-load-publisher.js';
import type { TargetLoad } from './types.js';

function createLoad(id: string, requests: number, slowness = 1): TargetLoad {
  return { id, requests, reading: 1, copies: 0, slowness };
}

function create() {
  const state = { recipients: ['x', 'y'], own: [createLoad('t1', 1)] };
  const sent: { peers: string[]; load: RegionLoadColumns }[] = [];
  const publisher = new RegionLoadPublisher({
    timers: { after: () => () => undefined },
    readOwnLoad: () => state.own,
    listRecipients: () => state.recipients,
    send: (peers, load) => sent.push({ peers, load }),
  });
  return { publisher, state, sent };
}

test('a region sends the sums of its VMs including the own load, without a lost VM', () => {
  const { publisher, state, sent } = create();
  publisher.setVmLoad('a', [createLoad('t2', 2), createLoad('t1', 1, 3)]);
  publisher.setVmLoad('b', [createLoad('t1', 4)]);
  publisher.publishChanges();
  publisher.publishChanges();
  assert.equal(
    sent.map(({ peers }) => peers),
    [['x', 'y']],
  );
  const sums = [{ ...createLoad('t1', 6, 3), reading: 3 }, createLoad('t2', 2)];
  assert.equal(sent[0] && fromColumns(sent[0].load), sums);
  state.own = [];
  publisher.setVmLoad('a', []);
  publisher.publishChanges();
  assert.equal(sent[1] && fromColumns(sent[1].load), [createLoad('t1', 4)]);
});

test('a VM that no longer reports for its region sends an empty load', () => {
  const { publisher, state, sent } = create();
  publisher.publishChanges();
  state.recipients = [];
  publisher.publishChanges();
  assert.equal(sent.at(-1)?.peers, ['x', 'y']);
  assert.equal(sent.at(-1)?.load.targets, []);
});

test.run();
