import createDecisionLog from '@limelead/decision-log';
import type { StoreItem } from '@limelead/follow-store';
import type { QueueMessage } from '@limelead/queue-calls';
import { createQuarantineUpdate } from '@limelead/quarantine-requests';
import type { PeerProbeAnswer, ReportedTargetLoad } from '@limelead/track-service-targets';
import { backgroundTimers, systemRandom, type Advice, type RetryNeed } from '@limelead/types';
import { createServer, type AddressInfo } from 'node:net';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { PeerExchange, type StoreSyncState, type StoreUpdate, type TargetLoad } from './index.js';

const clock = { now: () => performance.now() };
const log = createDecisionLog({ vm: 'test', clock, output: (_, done) => done() });

const EMPTY: StoreSyncState = {
  revision: 0,
  configuration: 0,
  configurationBytes: 0,
  isStoreAnswering: true,
  hasStoreCallFailed: false,
};

/** One VM with the updates that it received. */
class Vm {
  readonly loads = new Map<string, ReadonlyMap<string, ReportedTargetLoad>>();
  readonly lost: string[] = [];
  readonly probed: PeerProbeAnswer[] = [];
  readonly updates: StoreUpdate[] = [];
  readonly foreignPeers: string[] = [];
  /** All VMs follow the same store unless a test sets other marks. */
  marks = [1];
  readonly borrowed = new Map<string, number>();
  spare = 0;
  needs: RetryNeed[] = [];
  askedNeeds: RetryNeed[] | undefined;
  readonly queueMessages: { peer: string; message: QueueMessage }[] = [];
  readonly lostQueuePeers: string[] = [];
  syncState: StoreSyncState = EMPTY;
  items: StoreItem[] = [];
  load: TargetLoad[] = [];
  exchange!: PeerExchange;
  private wake: (() => void)[] = [];

  static async start(
    port: number,
    failureDomain: string,
    seeds: number[],
    syncState: StoreSyncState = EMPTY,
    items: StoreItem[] = [],
  ): Promise<Vm> {
    const vm = new Vm();
    vm.items = items;
    vm.syncState = syncState;
    vm.exchange = new PeerExchange({
      id: `127.0.0.1:${port}`,
      incarnation: `${port}.1`,
      host: '127.0.0.1',
      port,
      failureDomain,
      seeds: seeds.map((seed) => `127.0.0.1:${seed}`),
      clock,
      timers: backgroundTimers,
      random: systemRandom,
      log,
      readSyncState: () => vm.syncState,
      secret: '',
      onFault: () => assert.unreachable(),
      storeAddress: 'store:1',
      readStoreMarks: () => vm.marks,
      onForeignPeer: (peer) => vm.note(() => vm.foreignPeers.push(peer)),
      readStoreUpdate: (since) => ({
        items: vm.items.filter((item) => item.revision > since),
        gone: ['removed'],
        present: since === 0 ? vm.items.map(({ key }) => key) : undefined,
        revision: vm.syncState.revision,
      }),
      readUnreached: () => [],
      readLoad: () => vm.load,
      onPeerLoad: (peer, { targets }) => vm.note(() => vm.loads.set(peer, targets)),
      adviseTarget: () => ({ target: `advised by ${port}` }),
      onTargetLost: (target) => vm.note(() => vm.lost.push(target)),
      onProbeAnswers: (answers) => vm.note(() => vm.probed.push(...answers)),
      readQuarantineState: () => createQuarantineUpdate({}),
      onQuarantineUpdate: () => undefined,
      readLimits: () => [],
      onLimits: () => undefined,
      readLeaving: () => [],
      onLeaving: () => undefined,
      readOrigins: () => [],
      onOrigins: () => undefined,
      readOriginEvidence: () => ({ versions: [] }),
      readBrittle: () => [],
      onBrittle: () => undefined,
      onPermitMessage: () => undefined,
      onPermitPeerLost: () => undefined,
      onQueueMessage: (message, peer) => vm.note(() => vm.queueMessages.push({ peer, message })),
      onQueuePeerLost: (peer) => vm.note(() => vm.lostQueuePeers.push(peer)),
      listRetryNeeds: () => vm.needs,
      lendRetries: (_, wanted, needs) => {
        vm.askedNeeds = needs;
        return Math.min(wanted, vm.spare);
      },
      onRetriesBorrowed: (service, retries) => vm.note(() => vm.borrowed.set(service, retries)),
      onStoreUpdate: (update) =>
        vm.note(() => {
          const { items, revision } = update;
          vm.updates.push(update);
          vm.items = items;
          vm.syncState = { ...vm.syncState, revision };
        }),
    });
    await vm.exchange.start();
    return vm;
  }

  async until(holds: () => boolean): Promise<void> {
    while (!holds()) {
      await new Promise<void>((resolve) => {
        this.wake.push(resolve);
        setTimeout(resolve, 20);
      });
    }
  }

  private note(change: () => void): void {
    change();
    this.wake.splice(0).forEach((wake) => wake());
  }
}

async function findPorts(count: number): Promise<number[]> {
  const servers = Array.from({ length: count }, () => createServer());
  await Promise.all(
    servers.map((server) => new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))),
  );
  const ports = servers.map((server) => (server.address() as AddressInfo).port);
  await Promise.all(
    servers.map((server) => new Promise<void>((resolve) => server.close(() => resolve()))),
  );
  return ports;
}

test('VMs find each other through one seed, and count all VMs', async () => {
  const [a = 0, b = 0, c = 0] = await findPorts(3);
  const first = await Vm.start(a, 'north', []);
  const second = await Vm.start(b, 'north', [a]);
  const third = await Vm.start(c, 'south', [a]);
  await third.until(() =>
    [first, second, third].every(({ exchange }) => exchange.totalVmCount === 3),
  );
  await Promise.all([first, second, third].map(({ exchange }) => exchange.stop()));
});

test('load reaches every peer, and is removed when its sender is lost', async () => {
  const [a = 0, b = 0, c = 0] = await findPorts(3);
  const sender = await Vm.start(a, 'north', []);
  const near = await Vm.start(b, 'north', [a]);
  const far = await Vm.start(c, 'south', [a]);
  sender.load = [
    { id: 'n1', requests: 2, reading: 1, copies: 0, slowness: 1 },
    { id: 's1', requests: 1, reading: 0, copies: 0, slowness: 1 },
  ];
  const readRequests = (vm: Vm): Record<string, number> =>
    Object.fromEntries(
      [...(vm.loads.get(`127.0.0.1:${a}`) ?? [])].map(([id, { requests }]) => [id, requests]),
    );
  await near.until(() => {
    sender.exchange.onLoadChanged();
    return readRequests(near)['n1'] === 2 && readRequests(far)['s1'] === 1;
  });
  assert.equal(readRequests(near), { n1: 2, s1: 1 });
  assert.equal(readRequests(far), { n1: 2, s1: 1 });
  await sender.exchange.stop();
  await near.until(() => Object.keys(readRequests(near)).length === 0);
  await Promise.all([near, far].map(({ exchange }) => exchange.stop()));
});

test('a lost target reaches every peer once', async () => {
  const [a = 0, b = 0] = await findPorts(2);
  const first = await Vm.start(a, 'north', []);
  const second = await Vm.start(b, 'south', [a]);
  await first.until(() => first.exchange.totalVmCount === 2);
  await first.until(() => {
    first.exchange.publishLoss('t1', 'lost');
    return second.lost.length > 0;
  });
  first.exchange.publishLoss('t2', 'lost');
  await second.until(() => second.lost.includes('t2'));
  assert.equal([...new Set(second.lost)], second.lost);
  assert.equal(first.lost, []);
  await Promise.all([first, second].map(({ exchange }) => exchange.stop()));
});

test('an answer to a probe reaches a linked peer with its age', async () => {
  const [a = 0, b = 0] = await findPorts(2);
  const first = await Vm.start(a, 'north', []);
  const second = await Vm.start(b, 'south', [a]);
  await first.until(() => first.exchange.totalVmCount === 2);
  const atMs = clock.now() - 5;
  await first.until(() => {
    first.exchange.targetUpdates.probeAnswers.publish({ target: 't1', atMs });
    return second.probed.length > 0;
  });
  const [answer] = second.probed;
  assert.is(answer?.target, 't1');
  assert.ok(answer !== undefined && answer.atMs <= clock.now() - 5);
  assert.equal(first.probed, []);
  assert.equal(second.lost, [], 'a target that answers is no lost one');
  await Promise.all([first, second].map(({ exchange }) => exchange.stop()));
});

test('messages about places reach the queue VM unchanged, and its loss is noticed', async () => {
  const [a = 0, b = 0] = await findPorts(2);
  const first = await Vm.start(a, 'north', []);
  const second = await Vm.start(b, 'south', [a]);
  await first.until(() =>
    [first, second].every(({ exchange }) => exchange.queues.totalVmCount === 2),
  );
  const service = 'briefs';
  const queueVm = first.exchange.queues.chooseQueueVm(service);
  assert.is(second.exchange.queues.chooseQueueVm(service), queueVm);
  const [host, guest] = queueVm === `127.0.0.1:${a}` ? [first, second] : [second, first];
  const messages: QueueMessage[] = [
    { kind: 'report-calls', service, inFlight: [['t1', 2]], received: 3 },
    {
      kind: 'ask-places',
      ...{ service, isWhole: true, avoid: ['t2'], received: 3 },
      wants: [
        [1, 2, 300, 4_000, {}],
        [2, 0, -10, 900, { organisation: 'o', isRepeat: true, avoid: ['t1'] }],
      ],
    },
    { kind: 'release-place', service, target: 't1', tookMs: 61, isRejected: false },
    { kind: 'release-place', service, target: 't1', tookMs: null, isRejected: true },
    { kind: 'queue-state', service, isQueued: true, ttlMs: 2_000 },
    { kind: 'give-places', service, number: 4, grants: [[1, 't1']], refusals: [[2, 700]] },
  ];
  messages.forEach((message) => guest.exchange.queues.send(queueVm ?? '', message));
  await host.until(() => host.queueMessages.length === messages.length);
  assert.equal(
    host.queueMessages,
    messages.map((message) => ({ peer: guest.exchange.queues.self, message })),
  );
  await host.exchange.stop();
  await guest.until(() => guest.lostQueuePeers.includes(queueVm ?? ''));
  assert.is(guest.exchange.queues.chooseQueueVm(service), guest.exchange.queues.self);
  await guest.exchange.stop();
});

test('a VM that the store does not answer gets its items from a peer', async () => {
  const [a = 0, b = 0] = await findPorts(2);
  const item = { key: 'k', value: Buffer.from('v'), revision: 7 };
  const known = { ...EMPTY, revision: 9, configuration: 3 };
  const first = await Vm.start(a, 'north', [], known, [item]);
  const disconnected = await Vm.start(b, 'south', [a], { ...EMPTY, isStoreAnswering: false });
  await disconnected.until(() => disconnected.syncState.revision === 9);
  assert.equal(disconnected.items, [item]);
  await Promise.all([first, disconnected].map(({ exchange }) => exchange.stop()));
});

test('a VM whose store answers without new items gets a newer configuration from a peer', async () => {
  const [a = 0, b = 0] = await findPorts(2);
  const item = { key: 'k', value: Buffer.from('v'), revision: 7 };
  const known = { ...EMPTY, revision: 9, configuration: 3 };
  const first = await Vm.start(a, 'north', [], known, [item]);
  const stale = await Vm.start(b, 'south', [a], {
    ...known,
    revision: 5,
    configuration: 2,
  });
  await stale.until(() => stale.syncState.revision === 9);
  assert.equal(stale.items, [item]);
  await Promise.all([first, stale].map(({ exchange }) => exchange.stop()));
});

test('a peer with an older revision gets the missing items and the deleted keys', async () => {
  const [a = 0, b = 0] = await findPorts(2);
  const old = { key: 'old', value: Buffer.from('v'), revision: 4 };
  const newer = { key: 'newer', value: Buffer.from('w'), revision: 7 };
  const known = { ...EMPTY, revision: 9, configuration: 3 };
  const first = await Vm.start(a, 'north', [], known, [old, newer]);
  const behind = await Vm.start(b, 'south', [a], {
    ...EMPTY,
    revision: 5,
    isStoreAnswering: false,
  });
  await behind.until(() => behind.updates.length > 0);
  const [update] = behind.updates;
  assert.equal(update?.items, [newer]);
  assert.equal(update?.gone, ['removed']);
  assert.is(update?.present, undefined);
  await Promise.all([first, behind].map(({ exchange }) => exchange.stop()));
});

test('a VM with few retries left borrows half of one from a peer', async () => {
  const [a = 0, b = 0] = await findPorts(2);
  const lender = await Vm.start(a, 'north', []);
  lender.spare = 1;
  const borrower = await Vm.start(b, 'south', [a]);
  await borrower.until(() => {
    borrower.exchange.retries.borrow('briefs');
    return borrower.borrowed.get('briefs') === 0.5;
  });
  assert.is(lender.borrowed.size, 0);
  await Promise.all([lender, borrower].map(({ exchange }) => exchange.stop()));
});

test('a VM whose requests wait for retries borrows what they lack, by class', async () => {
  const [a = 0, b = 0] = await findPorts(2);
  const lender = await Vm.start(a, 'north', []);
  lender.spare = 10;
  const borrower = await Vm.start(b, 'south', [a]);
  borrower.needs = [
    { class: 'stream-written', retries: 2 },
    { class: 'call-repeat', retries: 4 },
  ];
  await borrower.until(() => {
    borrower.exchange.retries.borrowForWaiters('briefs');
    return borrower.borrowed.get('briefs') === 9;
  });
  assert.equal(lender.askedNeeds, [
    { class: 'stream-written', retries: 3 },
    { class: 'call-repeat', retries: 6 },
  ]);
  await Promise.all([lender, borrower].map(({ exchange }) => exchange.stop()));
});

test('a fleet of twelve VMs asks one scheduler, and its standby after it is lost', async () => {
  const ports = await findPorts(12);
  const vms: Vm[] = [];
  for (const port of ports) {
    vms.push(await Vm.start(port, 'north', ports.slice(0, 3)));
  }
  const ask = (vm: Vm): Promise<Advice> =>
    new Promise((resolve) => {
      const request = { service: 'briefs', affinityKey: 'session', exclude: [] };
      vm.exchange.requestTargetAdvice(request, resolve);
    });
  /** Asks until one scheduler advises all running VMs; returns its port. */
  const agree = async (running: Vm[]): Promise<number> => {
    for (;;) {
      const advice = await Promise.all(running.map(ask));
      const schedulers = new Set(
        advice.map((given) => (given.outcome === 'advised' ? given.target : given.outcome)),
      );
      const [answer = ''] = schedulers;
      if (schedulers.size === 1 && answer.startsWith('advised by ')) {
        return Number(answer.slice('advised by '.length));
      }
      await new Promise((resolve) => setTimeout(resolve, 20));
    }
  };
  const first = await agree(vms);
  const others = vms.filter((_, index) => ports[index] !== first);
  await vms[ports.indexOf(first)]?.exchange.stop();
  const second = await agree(others);
  assert.ok(ports.includes(second));
  assert.is.not(second, first);
  await Promise.all(others.map(({ exchange }) => exchange.stop()));
});

test.run();
