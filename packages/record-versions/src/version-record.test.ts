import createDecisionLog from '@limelead/decision-log';
import createMetrics from '@limelead/metrics';
import { PortFault } from '@limelead/errors';
import type { ConditionalStore, StoreEntry } from '@limelead/ports';
import type { Millis } from '@limelead/types';
import * as E from 'fp-ts/lib/Either.js';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import encodeVersions, { decodeVersions } from './version-item.js';
import type { RecordedVersions } from './recorded-versions.js';
import VersionRecord from './version-record.js';

const TTL_MS = 600_000;
const HOLD_MS = 1_000;
const RETURN_MS = 2_000;

/** A store that several VMs share. */
function createStore() {
  const state = { revision: 4, isAway: false, reads: 0, writes: 0 };
  let item: StoreEntry | undefined;
  const away = E.left(new PortFault('unreachable', 'maybe', 'the store does not answer'));
  const port: Pick<ConditionalStore, 'read' | 'write'> = {
    read: () => () => {
      state.reads += 1;
      return Promise.resolve(state.isAway ? away : E.right(item));
    },
    write:
      ([condition], [write]) =>
      () => {
        state.writes += 1;
        if (state.isAway) {
          return Promise.resolve(away);
        }
        if ((item?.revision ?? 0) !== condition?.revision || write?.kind !== 'put') {
          return Promise.resolve(E.right({ kind: 'mismatch' as const }));
        }
        state.revision += 1;
        item = { key: write.key, value: write.value, revision: state.revision };
        return Promise.resolve(E.right({ kind: 'written' as const, revision: state.revision }));
      },
  };
  const put = (...versions: string[]): void => {
    state.revision += 1;
    item = { key: 'k', value: encodeVersions(versions), revision: state.revision };
  };
  const stored = (): string[] | undefined => item && decodeVersions(item.value);
  return { state, port: port as ConditionalStore, put, stored };
}

/** One VM before a store. */
function createVm(store = createStore()) {
  const vm = {
    ...{ now: 0, present: ['v1'], isViewFresh: true },
    usable: undefined as string[] | undefined,
  };
  let view: RecordedVersions | undefined;
  let timers: { atMs: Millis; run: () => void }[] = [];
  const clock = { now: () => vm.now };
  const record = new VersionRecord({
    clock,
    timers: {
      after(ms, run) {
        const timer = { atMs: vm.now + ms, run };
        timers.push(timer);
        return () => void (timers = timers.filter((other) => other !== timer));
      },
    },
    random: { next: () => 0.5 },
    log: createDecisionLog({ vm: 'test', clock, output: (_, done) => done() }),
    metrics: createMetrics(),
    store: store.port,
    keyOf: (service) => service,
    listServices: () => ['llm'],
    hasStreams: (service) => service === 'llm',
    listPresent: () => vm.present,
    readView: () => view,
    listUsable: () => vm.usable ?? vm.present,
    isViewFresh: () => vm.isViewFresh,
    countVms: () => 6,
    ttlMs: TTL_MS,
  });
  /** Runs timers and what they wait for. */
  const pass = async (ms: Millis): Promise<void> => {
    const untilMs = vm.now + ms;
    for (;;) {
      await new Promise((resolve) => setImmediate(resolve));
      const due = timers.filter(({ atMs }) => atMs <= untilMs).sort((a, b) => a.atMs - b.atMs)[0];
      if (due === undefined) {
        break;
      }
      timers = timers.filter((other) => other !== due);
      vm.now = Math.max(vm.now, due.atMs);
      due.run();
    }
    vm.now = untilMs;
  };
  /** Handles what joined and what is gone. */
  const look = (): void => {
    vm.present.forEach((version) => record.onTargetJoined('llm', version));
    record.onTargetGone('llm');
  };
  /** The view follows the store. */
  const follow = (): void => {
    const versions = store.stored();
    view = versions && { versions, revision: store.state.revision };
    record.onViewChange();
    look();
  };
  return { vm, store, record, pass, follow, look };
}

test('streams begin at a version only once the store holds it', async () => {
  const { record, store, pass, look } = createVm();
  assert.not(record.canBegin('llm', 'v1'));
  look();
  assert.not(record.canBegin('llm', 'v1'));
  await pass(10);
  assert.equal(store.stored(), ['v1']);
  assert.ok(record.canBegin('llm', 'v1'));
  assert.not(record.canBegin('llm', 'v2'));
  assert.ok(record.canBegin('calls', 'v9'));
});

test('VMs that see a new version at once add to the record, and none loses what another wrote', async () => {
  const store = createStore();
  const first = createVm(store);
  const second = createVm(store);
  first.look();
  second.vm.present = ['v2'];
  second.look();
  await Promise.all([first.pass(100), second.pass(100)]);
  assert.equal(store.stored(), ['v1', 'v2']);
  assert.ok(first.record.canBegin('llm', 'v1'));
  assert.ok(second.record.canBegin('llm', 'v2'));
});

test('a VM that has just started knows versions whose targets are gone', () => {
  const { record, store, follow } = createVm();
  store.put('v0', 'v1');
  follow();
  assert.equal(record.list('llm'), ['v0', 'v1']);
});

test('a view that lags, or was told without the record, does not undo what this VM wrote or read', async () => {
  const { record, store, follow, pass, look } = createVm();
  look();
  await pass(10);
  assert.equal(record.list('llm'), ['v1']);
  store.put('v1', 'v2');
  let read: readonly string[] | undefined;
  record.read('llm', (versions) => (read = versions));
  await pass(0);
  assert.equal(read, ['v1', 'v2']);
  assert.equal(record.list('llm'), ['v1', 'v2']);
  look();
  assert.equal(record.list('llm'), ['v1', 'v2']);
  store.put('v1', 'v2', 'v3');
  follow();
  assert.equal(record.list('llm'), ['v1', 'v2', 'v3']);
});

test('a version leaves the record when no stream of it can be left, not before', async () => {
  const { vm, store, follow, pass } = createVm();
  vm.present = ['v1', 'v2'];
  follow();
  await pass(10);
  follow();
  await pass(2 * TTL_MS);
  vm.present = ['v2'];
  follow();
  await pass(TTL_MS - 1);
  assert.equal(store.stored(), ['v1', 'v2']);
  await pass(31_000);
  assert.equal(store.stored(), ['v2']);
});

// A VM that had been cut off for the life of a version removed it at once, since it had never seen it.
test('a VM that never saw a version keeps it for as long as its streams may live', async () => {
  const { store, follow, pass } = createVm();
  follow();
  await pass(10);
  follow();
  await pass(2 * TTL_MS);
  store.put('v1', 'v2');
  follow();
  await pass(TTL_MS - 1);
  assert.equal(store.stored(), ['v1', 'v2']);
});

test('a time in which the view was old does not count for the end of a version', async () => {
  const { vm, store, follow, pass } = createVm();
  store.put('v1', 'v2');
  follow();
  await pass(TTL_MS - 40_000);
  vm.isViewFresh = false;
  await pass(31_000);
  vm.isViewFresh = true;
  await pass(TTL_MS - 1);
  assert.equal(store.stored(), ['v1', 'v2']);
});

// A removal that was decided before a version returned would have met its condition.
test('streams begin at a version that has returned only once the record is written again', async () => {
  const { vm, record, store, follow, pass, look } = createVm();
  vm.present = ['v1', 'v2'];
  follow();
  await pass(10);
  follow();
  const { revision } = store.state;
  vm.present = ['v1'];
  look();
  await pass(TTL_MS / 2);
  vm.present = ['v1', 'v2'];
  look();
  assert.not(record.canBegin('llm', 'v2'));
  await pass(10);
  assert.is(store.state.revision, revision + 1);
  assert.ok(record.canBegin('llm', 'v2'));
  assert.equal(store.stored(), ['v1', 'v2']);
});

// Streams of the old version that callers resumed behind the loss of all VMs were refused at once.
test('behind the start of a VM a new version waits for callers that return, while another one serves', async () => {
  const { vm, record, store, follow, pass } = createVm();
  store.put('v1');
  vm.present = ['v1', 'v2'];
  follow();
  await pass(RETURN_MS - 1);
  assert.equal(store.stored(), ['v1']);
  assert.not(record.canBegin('llm', 'v2'));
  assert.ok(record.canBegin('llm', 'v1'));
  await pass(20);
  assert.equal(store.stored(), ['v1', 'v2']);
});

// The check for the end of other versions was due later, and put the one for the new version off.
test('a new version does not wait longer beside a version that has ended', async () => {
  const { vm, store, follow, pass, look } = createVm();
  store.put('v0', 'v1');
  follow();
  await pass(RETURN_MS / 2);
  vm.present = ['v1', 'v2'];
  look();
  await pass(RETURN_MS / 2 + 20);
  assert.equal(store.stored(), ['v0', 'v1', 'v2']);
});

test('behind the start of a VM a new version does not wait if no other one serves', async () => {
  const { vm, store, follow, pass } = createVm();
  store.put('v1');
  vm.present = ['v1', 'v2'];
  vm.usable = ['v2'];
  follow();
  await pass(20);
  assert.equal(store.stored(), ['v1', 'v2']);
});

// Writes that another VM forestalled were repeated every 20 ms, at a store that limits calls.
test('conflicts that do not end are repeated less and less often, and count as failures', async () => {
  const { vm, record, store, pass, look } = createVm();
  store.put('v0');
  store.port.write = () => () => {
    store.state.writes += 1;
    return Promise.resolve(E.right({ kind: 'mismatch' as const }));
  };
  look();
  await pass(10_000);
  assert.ok(store.state.writes < 12, `${store.state.writes} writes`);
  assert.ok(record.canBegin('llm', 'v1'));
  vm.present = ['v0'];
  look();
  await pass(20_000);
  vm.present = ['v0', 'v3'];
  look();
  assert.not(record.canBegin('llm', 'v3'));
});

test('an error of one who asked does not end the reads of others', async () => {
  const { record, store, pass } = createVm();
  store.put('v1');
  let answer: readonly string[] | undefined;
  const faults: unknown[] = [];
  const onFault = (fault: unknown): void => void faults.push(fault);
  process.on('unhandledRejection', onFault);
  record.read('llm', () => {
    throw new Error('the asker failed');
  });
  await pass(0);
  record.read('llm', (versions) => (answer = versions));
  await pass(0);
  process.off('unhandledRejection', onFault);
  assert.is(faults.length, 1);
  assert.equal(answer, ['v1']);
});

test('a VM whose view is old removes nothing from the record', async () => {
  const { vm, store, follow, pass } = createVm();
  store.put('v1', 'v2');
  follow();
  vm.isViewFresh = false;
  await pass(2 * TTL_MS);
  assert.equal(store.stored(), ['v1', 'v2']);
});

test('while the store takes no writes, streams wait a time before they begin at a new version', async () => {
  const { record, store, pass, look } = createVm();
  store.state.isAway = true;
  look();
  await pass(HOLD_MS - 1);
  assert.not(record.canBegin('llm', 'v1'));
  await pass(2);
  assert.ok(record.canBegin('llm', 'v1'));
  store.state.isAway = false;
  await pass(1_000);
  assert.equal(store.stored(), ['v1']);
});

test('what another store held does not count', async () => {
  const { record, pass, look } = createVm();
  look();
  await pass(10);
  record.reset();
  assert.is(record.list('llm'), undefined);
  assert.not(record.canBegin('llm', 'v1'));
});

test('a version is recorded again that another VM removed while it has a target', async () => {
  const { store, follow, pass, look } = createVm();
  look();
  await pass(10);
  store.put('v2');
  follow();
  await pass(10);
  assert.equal(store.stored(), ['v1', 'v2']);
});

test('one read serves all who asked before it was sent', async () => {
  const { record, store, pass } = createVm();
  store.put('v1');
  const answers: (readonly string[] | undefined)[] = [];
  const ask = (): (() => void) => record.read('llm', (versions) => answers.push(versions));
  ask();
  ask();
  ask()();
  await pass(0);
  assert.is(store.state.reads, 2);
  assert.equal(answers, [['v1'], ['v1']]);
});

test('a question ends in time without an answer of the store', async () => {
  const { record, pass, store } = createVm();
  store.port.read = () => () => new Promise(() => undefined);
  const answers: unknown[] = [];
  record.read('llm', (versions) => answers.push(versions));
  await pass(700);
  assert.equal(answers, [undefined]);
});

test('a record that nobody has written is no knowledge', async () => {
  const { record, pass } = createVm();
  const answers: unknown[] = [];
  record.read('llm', (versions) => answers.push(versions));
  await pass(0);
  assert.equal(answers, [undefined]);
});

test.run();
