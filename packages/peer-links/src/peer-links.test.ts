import { backgroundTimers } from '@limelead/types';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { WebSocket } from 'ws';
import {
  createPeerLinks,
  decodeMessage,
  encodeMessage,
  peerMessageFormat,
  type PeerLinks,
  type PeerMessage,
} from './index.js';

const SECRET = 'a-secret-of-all-vms';

/** A VM with links, which records its events and lets a test wait for them. */
class TestVm {
  links!: PeerLinks<PeerMessage>;
  readonly messages: PeerMessage[] = [];
  private waiters: (() => void)[] = [];
  readonly ready: string[] = [];
  readonly lost: string[] = [];

  static async start(id: string, secret = SECRET, incarnation = `${id}.1`): Promise<TestVm> {
    const vm = new TestVm();
    vm.links = await createPeerLinks({
      id,
      incarnation,
      secret,
      host: '127.0.0.1',
      port: 0,
      timers: backgroundTimers,
      format: peerMessageFormat,
      onReady: (peer) => vm.record(() => vm.ready.push(peer)),
      onMessage: (_, message) => vm.record(() => vm.messages.push(message)),
      onLinkLost: (peer) => vm.record(() => vm.lost.push(peer)),
      onMessageDropped: () => undefined,
    });
    return vm;
  }

  address(id: string) {
    return { id, host: '127.0.0.1', port: this.links.port };
  }

  async waitUntil(condition: () => boolean): Promise<void> {
    while (!condition()) {
      await new Promise<void>((resolve) => this.waiters.push(resolve));
    }
  }

  private record(change: () => void): void {
    change();
    this.waiters.splice(0).forEach((wake) => wake());
  }
}

test('two VMs with the same secret exchange typed messages', async () => {
  const [a, b] = [await TestVm.start('vm-a'), await TestVm.start('vm-b')];
  a.links.open([b.address('vm-b')]);
  await a.waitUntil(() => a.ready.length === 1);
  await b.waitUntil(() => b.ready.length === 1);
  assert.ok(a.links.send('vm-b', { kind: 'want-changes', after: 3 }));
  await b.waitUntil(() => b.messages.length === 1);
  assert.equal(b.messages, [{ kind: 'want-changes', after: 3 }]);
  await a.links.close();
  await b.waitUntil(() => b.lost.length === 1);
  await b.links.close();
});

test('a VM with another secret is rejected at either end', async () => {
  const [a, stranger] = [
    await TestVm.start('vm-a'),
    await TestVm.start('vm-x', 'another-secret-of-vms'),
  ];
  const socket = new WebSocket(`ws://127.0.0.1:${a.links.port}`);
  await new Promise((resolve) => socket.once('message', resolve));
  const closed = new Promise((resolve) => socket.once('close', resolve));
  socket.send(encodeMessage({ kind: 'want-list' }));
  await closed;
  stranger.links.open([a.address('vm-a')]);
  a.links.open([stranger.address('vm-x')]);
  const probe = new WebSocket(`ws://127.0.0.1:${a.links.port}`);
  await new Promise((resolve) => probe.once('message', resolve));
  probe.terminate();
  assert.equal([a.ready, stranger.ready], [[], []]);
  await a.links.close();
  await stranger.links.close();
});

test('when both VMs open a link at the same time, one remains and works in both directions', async () => {
  const [a, b] = [await TestVm.start('vm-a'), await TestVm.start('vm-b')];
  a.links.open([b.address('vm-b')]);
  b.links.open([a.address('vm-a')]);
  await a.waitUntil(() => a.ready.length >= 1);
  await b.waitUntil(() => b.ready.length >= 1);
  const exchange = async (): Promise<void> => {
    while (a.messages.length === 0 || b.messages.length === 0) {
      a.links.send('vm-b', { kind: 'want-list' });
      b.links.send('vm-a', { kind: 'want-list' });
      await new Promise((resolve) => setImmediate(resolve));
    }
  };
  await exchange();
  assert.equal([a.links.listLinked(), b.links.listLinked()], [['vm-b'], ['vm-a']]);
  await a.links.close();
  await b.links.close();
});

test('a new incarnation of a peer replaces the link of the old one', async () => {
  const a = await TestVm.start('vm-a');
  const first = await TestVm.start('vm-b', SECRET, 'vm-b.1');
  first.links.open([a.address('vm-a')]);
  await a.waitUntil(() => a.ready.length === 1);
  const restarted = await TestVm.start('vm-b', SECRET, 'vm-b.2');
  restarted.links.open([a.address('vm-a')]);
  await a.waitUntil(() => a.ready.length === 2);
  await first.waitUntil(() => first.lost.length === 1);
  assert.equal(a.links.listLinked(), ['vm-b']);
  await Promise.all([a.links.close(), first.links.close(), restarted.links.close()]);
});

test('bytes that are not a message of the protocol are not decoded', () => {
  assert.is(decodeMessage(Buffer.from('garbage')), undefined);
  assert.is(
    decodeMessage(encodeMessage({ kind: 'nonsense' } as unknown as PeerMessage)),
    undefined,
  );
  const message: PeerMessage = { kind: 'breaker', target: 'e1', openForMs: 5 };
  assert.equal(decodeMessage(encodeMessage(message)), message);
});

test.run();
