import { test } from 'uvu';
import * as assert from 'uvu/assert';
import LoadNews from './load-news.js';
import type { TargetLoad } from './types.js';

function create(vms: number) {
  const told: string[] = [];
  const due: { afterMs: number; run: () => void }[] = [];
  const state: { load: TargetLoad[] } = { load: [] };
  const news = new LoadNews({
    timers: {
      after(afterMs, run) {
        due.push({ afterMs, run });
        return () => undefined;
      },
    },
    countVms: () => vms,
    readLoad: () => state.load,
    listPeers: () => ['a', 'b'],
    tell: (peer, targets) => told.push(`${peer} ${targets.length}`),
  });
  return { told, due, state, news };
}

test('changes that come together are told once, and to nobody who knows them', () => {
  const { told, due, state, news } = create(7);
  state.load = [{ id: 't1', requests: 1, reading: 1 }];
  news.note();
  news.note();
  assert.is(due.length, 1);
  due[0]?.run();
  assert.equal(told, ['a 1', 'b 1']);
  news.tellTo(['a']);
  assert.is(told.length, 2);
  news.forget('a');
  news.tellTo(['a']);
  assert.equal(told.at(-1), 'a 1');
});

test('a peer that was just linked is told no empty load', () => {
  const { told, news } = create(7);
  news.tellTo(['a']);
  assert.equal(told, []);
});

test('in a fleet of 195 VMs changes gather for a quarter of a second', () => {
  const { due, news } = create(195);
  news.note();
  assert.is(Math.round(due[0]?.afterMs ?? 0), 244);
});

test.run();
