import { test } from 'uvu';
import * as assert from 'uvu/assert';
import LoadPublisher from './load-publisher.js';
import type { TargetLoad } from './types.js';

function create() {
  const sent: string[] = [];
  const timers: { afterMs: number; run: () => void }[] = [];
  const state: { load: TargetLoad[]; listed: string[] } = { load: [], listed: ['a', 'b'] };
  const publisher = new LoadPublisher({
    timers: {
      after(afterMs, run) {
        timers.push({ afterMs, run });
        return () => undefined;
      },
    },
    readLoadFor: () => state.load,
    listPeers: () => state.listed,
    send: (peer, targets) => sent.push(`${peer} ${targets.length}`),
  });
  return { sent, timers, state, publisher };
}

test('changes within one batch are sent once, and only to peers with an outdated load', () => {
  const { sent, timers, state, publisher } = create();
  state.load = [{ id: 't1', requests: 1, reading: 1, copies: 0, slowness: 1 }];
  publisher.onLoadChanged();
  publisher.onLoadChanged();
  assert.is(timers.length, 1);
  timers[0]?.run();
  assert.equal(sent, ['a 1', 'b 1']);
  assert.is(timers[0]?.afterMs, 15);
  publisher.publishChanges();
  assert.is(sent.length, 2);
  publisher.forgetPeer('a');
  publisher.publishChanges();
  assert.equal(sent.slice(2), ['a 1']);
});

test('a newly linked peer gets no empty load', () => {
  const { sent, publisher } = create();
  publisher.publishChanges();
  assert.equal(sent, []);
});

test('a peer that is no longer a recipient gets one empty load', () => {
  const { sent, state, publisher } = create();
  state.load = [{ id: 't1', requests: 1, reading: 1, copies: 0, slowness: 1 }];
  publisher.publishChanges();
  state.listed = ['b'];
  publisher.publishChanges();
  publisher.publishChanges();
  assert.equal(sent, ['a 1', 'b 1', 'a 0']);
  state.listed = ['a', 'b'];
  publisher.publishChanges();
  assert.equal(sent.at(-1), 'a 1');
});

test.run();
