import createDecisionLog from '@limelead/decision-log';
import type { StoreItem } from '@limelead/follow-store';
import { createQuarantineUpdate } from '@limelead/quarantine-requests';
import type { ReportedTargetLoad } from '@limelead/track-service-targets';
import { backgroundTimers, systemRandom, type Advice } from '@limelead/types';
import { createServer, type AddressInfo } from 'node:net';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import {
  EvidenceExchange,
  type StoreKnowledge,
  type StoreUpdate,
  type TargetLoad,
} from './index.js';

const clock = { now: () => performance.now() };
const log = createDecisionLog({ vm: 'test', clock, output: (_, done) => done() });

const EMPTY: StoreKnowledge = {
  revision: 0,
  configuration: 0,
  configurationBytes: 0,
  isInTouch: true,
  isStoreAway: false,
};

/** One VM, with what it was told. */
class Vm {
  readonly loads = new Map<string, ReadonlyMap<string, ReportedTargetLoad>>();
  readonly lost: string[] = [];
  readonly updates: StoreUpdate[] = [];
  readonly strangers: string[] = [];
  /** Of the one store that all follow, unless a test says otherwise. */
  marks = [1];
  readonly borrowed = new Map<string, number>();
  spare = 0;
  knowledge: StoreKnowledge = EMPTY;
  items: StoreItem[] = [];
  load: TargetLoad[] = [];
  exchange!: EvidenceExchange;
  private wake: (() => void)[] = [];

  static async start(
    port: number,
    failureDomain: string,
    seeds: number[],
    knowledge: StoreKnowledge = EMPTY,
    items: StoreItem[] = [],
  ): Promise<Vm> {
    const vm = new Vm();
    vm.items = items;
    vm.knowledge = knowledge;
    vm.exchange = new EvidenceExchange({
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
      readKnowledge: () => vm.knowledge,
      secret: '',
      onFault: () => assert.unreachable(),
      storeAddress: 'store:1',
      readMarks: () => vm.marks,
      onStranger: (peer) => vm.note(() => vm.strangers.push(peer)),
      readUpdate: (since) => ({
        items: vm.items.filter((item) => item.revision > since),
        gone: ['removed'],
        present: since === 0 ? vm.items.map(({ key }) => key) : undefined,
        revision: vm.knowledge.revision,
      }),
      readLoad: () => vm.load,
      onLoad: (peer, { targets }) => vm.note(() => vm.loads.set(peer, targets)),
      adviseTarget: () => ({ target: `advised by ${port}` }),
      onLost: (target) => vm.note(() => vm.lost.push(target)),
      readGuardNews: () => createQuarantineUpdate({}),
      onGuardNews: () => undefined,
      readLimits: () => [],
      onLimits: () => undefined,
      readLeaving: () => [],
      onLeaving: () => undefined,
      onPermits: () => undefined,
      onPermitPeerLost: () => undefined,
      lendRepeats: (_, wanted) => Math.min(wanted, vm.spare),
      onRepeats: (service, repeats) => vm.note(() => vm.borrowed.set(service, repeats)),
      onUpdate: (update) =>
        vm.note(() => {
          const { items, revision } = update;
          vm.updates.push(update);
          vm.items = items;
          vm.knowledge = { ...vm.knowledge, revision };
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

test('VMs find each other through one seed, and count themselves', async () => {
  const [a = 0, b = 0, c = 0] = await findPorts(3);
  const first = await Vm.start(a, 'north', []);
  const second = await Vm.start(b, 'north', [a]);
  const third = await Vm.start(c, 'south', [a]);
  await third.until(() => [first, second, third].every(({ exchange }) => exchange.vmCount === 3));
  await Promise.all([first, second, third].map(({ exchange }) => exchange.stop()));
});

test('load is told to every peer, and is forgotten with the VM that told it', async () => {
  const [a = 0, b = 0, c = 0] = await findPorts(3);
  const teller = await Vm.start(a, 'north', []);
  const near = await Vm.start(b, 'north', [a]);
  const far = await Vm.start(c, 'south', [a]);
  teller.load = [
    { id: 'n1', requests: 2, reading: 1, copies: 0, slowness: 1 },
    { id: 's1', requests: 1, reading: 0, copies: 0, slowness: 1 },
  ];
  const told = (vm: Vm): Record<string, number> =>
    Object.fromEntries(
      [...(vm.loads.get(`127.0.0.1:${a}`) ?? [])].map(([id, { requests }]) => [id, requests]),
    );
  await near.until(() => {
    teller.exchange.noteLoad();
    return told(near)['n1'] === 2 && told(far)['s1'] === 1;
  });
  assert.equal(told(near), { n1: 2, s1: 1 });
  assert.equal(told(far), { n1: 2, s1: 1 });
  await teller.exchange.stop();
  await near.until(() => Object.keys(told(near)).length === 0);
  await Promise.all([near, far].map(({ exchange }) => exchange.stop()));
});

test('a lost target is told to everybody once', async () => {
  const [a = 0, b = 0] = await findPorts(2);
  const first = await Vm.start(a, 'north', []);
  const second = await Vm.start(b, 'south', [a]);
  await first.until(() => first.exchange.vmCount === 2);
  await first.until(() => {
    first.exchange.noteLost('t1', 'lost');
    return second.lost.length > 0;
  });
  first.exchange.noteLost('t2', 'lost');
  await second.until(() => second.lost.includes('t2'));
  assert.equal([...new Set(second.lost)], second.lost);
  assert.equal(first.lost, []);
  await Promise.all([first, second].map(({ exchange }) => exchange.stop()));
});

test('a VM that the store turns away learns its items from a peer that knows more', async () => {
  const [a = 0, b = 0] = await findPorts(2);
  const item = { key: 'k', value: Buffer.from('v'), revision: 7 };
  const known = { ...EMPTY, revision: 9, configuration: 3 };
  const first = await Vm.start(a, 'north', [], known, [item]);
  const blind = await Vm.start(b, 'south', [a], { ...EMPTY, isInTouch: false });
  await blind.until(() => blind.knowledge.revision === 9);
  assert.equal(blind.items, [item]);
  await Promise.all([first, blind].map(({ exchange }) => exchange.stop()));
});

test('a VM whose store seems well but tells nothing new learns a newer configuration from a peer', async () => {
  const [a = 0, b = 0] = await findPorts(2);
  const item = { key: 'k', value: Buffer.from('v'), revision: 7 };
  const known = { ...EMPTY, revision: 9, configuration: 3 };
  const first = await Vm.start(a, 'north', [], known, [item]);
  const stale = await Vm.start(b, 'south', [a], {
    ...known,
    revision: 5,
    configuration: 2,
  });
  await stale.until(() => stale.knowledge.revision === 9);
  assert.equal(stale.items, [item]);
  await Promise.all([first, stale].map(({ exchange }) => exchange.stop()));
});

test('a peer that is behind gets what it lacks, and the keys that went', async () => {
  const [a = 0, b = 0] = await findPorts(2);
  const old = { key: 'old', value: Buffer.from('v'), revision: 4 };
  const newer = { key: 'newer', value: Buffer.from('w'), revision: 7 };
  const known = { ...EMPTY, revision: 9, configuration: 3 };
  const first = await Vm.start(a, 'north', [], known, [old, newer]);
  const behind = await Vm.start(b, 'south', [a], { ...EMPTY, revision: 5, isInTouch: false });
  await behind.until(() => behind.updates.length > 0);
  const [update] = behind.updates;
  assert.equal(update?.items, [newer]);
  assert.equal(update?.gone, ['removed']);
  assert.is(update?.present, undefined);
  await Promise.all([first, behind].map(({ exchange }) => exchange.stop()));
});

test('a VM with few repeats left gets half of one from a peer that has it', async () => {
  const [a = 0, b = 0] = await findPorts(2);
  const rich = await Vm.start(a, 'north', []);
  rich.spare = 1;
  const poor = await Vm.start(b, 'south', [a]);
  await poor.until(() => {
    poor.exchange.wantRepeats('briefs');
    return poor.borrowed.get('briefs') === 0.5;
  });
  assert.is(rich.borrowed.size, 0);
  await Promise.all([rich, poor].map(({ exchange }) => exchange.stop()));
});

test('a fleet of twelve asks one scheduler, and its stand-in once it is gone', async () => {
  const ports = await findPorts(12);
  const vms: Vm[] = [];
  for (const port of ports) {
    vms.push(await Vm.start(port, 'north', ports.slice(0, 3)));
  }
  const ask = (vm: Vm): Promise<Advice> =>
    new Promise((resolve) => {
      const request = { service: 'briefs', affinityKey: 'session', exclude: [] };
      vm.exchange.askTarget(request, resolve);
    });
  /** Asks until all that run are told the same by one scheduler; gives its port. */
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
