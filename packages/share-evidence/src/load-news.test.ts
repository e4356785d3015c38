import { test } from 'uvu';
import * as assert from 'uvu/assert';
import LoadNews from './load-news.js';
import type { TargetLoad } from './types.js';

function create() {
  const told: string[] = [];
  const due: { afterMs: number; run: () => void }[] = [];
  const state: { load: TargetLoad[]; listed: string[] } = { load: [], listed: ['a', 'b'] };
  const news = new LoadNews({
    timers: {
      after(afterMs, run) {
        due.push({ afterMs, run });
        return () => undefined;
      },
    },
    readLoadFor: () => state.load,
    listPeers: () => state.listed,
    tell: (peer, targets) => told.push(`${peer} ${targets.length}`),
  });
  return { told, due, state, news };
}

test('changes that come together are told once, and to nobody who knows them', () => {
  const { told, due, state, news } = create();
  state.load = [{ id: 't1', requests: 1, reading: 1, copies: 0, slowness: 1 }];
  news.note();
  news.note();
  assert.is(due.length, 1);
  due[0]?.run();
  assert.equal(told, ['a 1', 'b 1']);
  assert.is(due[0]?.afterMs, 15);
  news.tellAll();
  assert.is(told.length, 2);
  news.forget('a');
  news.tellAll();
  assert.equal(told.slice(2), ['a 1']);
});

test('a peer that was just linked is told no empty load', () => {
  const { told, news } = create();
  news.tellAll();
  assert.equal(told, []);
});

test('a peer that should know no longer is told that there is no load, once', () => {
  const { told, state, news } = create();
  state.load = [{ id: 't1', requests: 1, reading: 1, copies: 0, slowness: 1 }];
  news.tellAll();
  state.listed = ['b'];
  news.tellAll();
  news.tellAll();
  assert.equal(told, ['a 1', 'b 1', 'a 0']);
  state.listed = ['a', 'b'];
  news.tellAll();
  assert.equal(told.at(-1), 'a 1');
});

test.run();
