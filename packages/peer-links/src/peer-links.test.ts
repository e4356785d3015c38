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

/** One end, with promises for what its test waits for. */
class End {
  links!: PeerLinks<PeerMessage>;
  readonly messages: PeerMessage[] = [];
  private waiting: (() => void)[] = [];
  readonly ready: string[] = [];
  readonly lost: string[] = [];

  static async start(id: string, secret = SECRET, incarnation = `${id}.1`): Promise<End> {
    const end = new End();
    end.links = await createPeerLinks({
      id,
      incarnation,
      secret,
      host: '127.0.0.1',
      port: 0,
      timers: backgroundTimers,
      format: peerMessageFormat,
      onReady: (peer) => end.note(() => end.ready.push(peer)),
      onMessage: (_, message) => end.note(() => end.messages.push(message)),
      onLinkLost: (peer) => end.note(() => end.lost.push(peer)),
      onMessageDropped: () => undefined,
    });
    return end;
  }

  address(id: string) {
    return { id, host: '127.0.0.1', port: this.links.port };
  }

  async until(holds: () => boolean): Promise<void> {
    while (!holds()) {
      await new Promise<void>((resolve) => this.waiting.push(resolve));
    }
  }

  private note(change: () => void): void {
    change();
    this.waiting.splice(0).forEach((wake) => wake());
  }
}

test('two VMs with the same secret exchange typed messages', async () => {
  const [a, b] = [await End.start('vm-a'), await End.start('vm-b')];
  a.links.open([b.address('vm-b')]);
  await a.until(() => a.ready.length === 1);
  await b.until(() => b.ready.length === 1);
  assert.ok(a.links.send('vm-b', { kind: 'want-changes', after: 3 }));
  await b.until(() => b.messages.length === 1);
  assert.equal(b.messages, [{ kind: 'want-changes', after: 3 }]);
  await a.links.close();
  await b.until(() => b.lost.length === 1);
  await b.links.close();
});

test('a VM with another secret is not let in, from either end', async () => {
  const [a, stranger] = [await End.start('vm-a'), await End.start('vm-x', 'another-secret-of-vms')];
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

test('when both open a link at the same time, one remains and works both ways', async () => {
  const [a, b] = [await End.start('vm-a'), await End.start('vm-b')];
  a.links.open([b.address('vm-b')]);
  b.links.open([a.address('vm-a')]);
  await a.until(() => a.ready.length >= 1);
  await b.until(() => b.ready.length >= 1);
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

test('a new start of a peer replaces the link of the old one', async () => {
  const a = await End.start('vm-a');
  const old = await End.start('vm-b', SECRET, 'vm-b.1');
  old.links.open([a.address('vm-a')]);
  await a.until(() => a.ready.length === 1);
  const fresh = await End.start('vm-b', SECRET, 'vm-b.2');
  fresh.links.open([a.address('vm-a')]);
  await a.until(() => a.ready.length === 2);
  await old.until(() => old.lost.length === 1);
  assert.equal(a.links.listLinked(), ['vm-b']);
  await Promise.all([a.links.close(), old.links.close(), fresh.links.close()]);
});

test('what is no message of the protocol is not decoded', () => {
  assert.is(decodeMessage(Buffer.from('garbage')), undefined);
  assert.is(
    decodeMessage(encodeMessage({ kind: 'nonsense' } as unknown as PeerMessage)),
    undefined,
  );
  const message: PeerMessage = { kind: 'breaker', target: 'e1', openForMs: 5 };
  assert.equal(decodeMessage(encodeMessage(message)), message);
});

test.run();
