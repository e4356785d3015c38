import type { ServiceTarget } from '@limelead/types';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import {
  getSlowness,
  TargetDirectory,
  type ReportedTargetLoad,
  type TargetNotice,
  type PeerLoadUpdate,
} from './index.js';

function createTarget(id: string, overrides: Partial<ServiceTarget> = {}): ServiceTarget {
  return {
    id,
    service: 'briefs',
    host: '10.0.0.1',
    port: Number(id.replace(/\D/g, '')) + 1,
    failureDomain: 'north',
    slots: 4,
    leaving: false,
    ...overrides,
  };
}

function createLoadUpdate(atT1?: ReportedTargetLoad): PeerLoadUpdate {
  return { targets: new Map(atT1 && [['t1', atT1]]), advice: 0 };
}

function createDirectory() {
  const time = { now: 1_000 };
  const notices: TargetNotice[] = [];
  const lost: string[] = [];
  const announced = new Set<string>();
  const directory = new TargetDirectory(
    { now: () => time.now },
    {
      onNotice: (notice) => notices.push(notice),
      onLost: ({ id }) => lost.push(id),
      hasAnnouncedLeaving: (id) => announced.has(id),
    },
  );
  const announce = (id: string): void => {
    announced.add(id);
    directory.onAnnouncedLeaving(id);
  };
  return { time, notices, lost, announce, directory };
}

test('an entry that changes its software version under its id is another incarnation', () => {
  const { directory, notices } = createDirectory();
  directory.replaceAll([createTarget('t1', { version: 'v1' })]);
  directory.startRequest('t1');
  directory.observe('t1', { kind: 'lost' });
  directory.apply([{ kind: 'put', target: createTarget('t1', { version: 'v2' }) }]);
  assert.equal(
    notices.map(({ kind, target }) => `${kind} ${target.version}`),
    ['joined v1', 'gone v1', 'joined v2'],
  );
  assert.is(directory.get('t1')?.inFlight, 0);
  assert.not.ok(directory.isSuspected('t1'));
});

test('a leaving target gets no new requests at once, and keeps its requests in flight', () => {
  const { directory } = createDirectory();
  directory.replaceAll([createTarget('t1'), createTarget('t2')]);
  const end = directory.startRequest('t1');
  directory.apply([{ kind: 'put', target: createTarget('t1', { leaving: true }) }]);
  assert.equal(
    directory.listUsable('briefs').map(({ target }) => target.id),
    ['t2'],
  );
  assert.is(directory.get('t1')?.inFlight, 1);
  end();
  end();
  assert.is(directory.get('t1')?.inFlight, 0);
});

test('an announcement of leaving is not revoked by registry entries, only by a new incarnation', () => {
  const { directory, notices, announce } = createDirectory();
  const listUsable = (): string[] => directory.listUsable('briefs').map(({ target }) => target.id);
  directory.replaceAll([createTarget('t1'), createTarget('t2')]);
  announce('t1');
  assert.equal(listUsable(), ['t2']);
  directory.apply([{ kind: 'put', target: createTarget('t1') }]);
  directory.apply([{ kind: 'gone', id: 't1' }]);
  directory.apply([{ kind: 'put', target: createTarget('t1') }]);
  assert.equal(listUsable(), ['t2']);
  directory.apply([{ kind: 'put', target: createTarget('t3', { port: 2 }) }]);
  assert.equal(listUsable(), ['t2', 't3']);
  const leaving = notices.filter(({ kind }) => kind === 'leaving');
  assert.equal(
    leaving.map(({ target }) => target.id),
    ['t1', 't1'],
  );
});

test('a new incarnation at the same address replaces the old one and its suspicion', () => {
  const { directory, notices } = createDirectory();
  directory.replaceAll([createTarget('t1')]);
  directory.observe('t1', { kind: 'lost' });
  assert.ok(directory.isSuspected('t1'));
  directory.apply([{ kind: 'put', target: createTarget('t9', { port: 2 }) }]);
  assert.is(directory.get('t1'), undefined);
  assert.not(directory.isSuspected('t9'));
  assert.equal(
    notices.map(({ kind }) => kind),
    ['joined', 'gone', 'joined'],
  );
});

test('a complete list removes targets that it does not name', () => {
  const { directory } = createDirectory();
  directory.replaceAll([createTarget('t1'), createTarget('t2')]);
  directory.replaceAll([createTarget('t2')]);
  assert.is(directory.size, 1);
});

test('a suspicion expires, lasts longer each time, and ends with a successful response', () => {
  const { directory, time } = createDirectory();
  directory.replaceAll([createTarget('t1')]);
  directory.observe('t1', { kind: 'lost' });
  time.now += 401;
  assert.not(directory.isSuspected('t1'));
  directory.observe('t1', { kind: 'lost' });
  time.now += 401;
  assert.ok(directory.isSuspected('t1'));
  directory.observe('t1', { kind: 'answered' });
  assert.not(directory.isSuspected('t1'));
});

test('two losses close together make the whole failure domain suspected for a time', () => {
  const { directory, time } = createDirectory();
  directory.replaceAll([
    createTarget('t1'),
    createTarget('t2'),
    createTarget('t3', { failureDomain: 'south' }),
  ]);
  directory.observe('t1', { kind: 'lost' });
  assert.not(directory.isDomainSuspected('briefs', 'north'));
  directory.observe('t2', { kind: 'lost' });
  assert.ok(directory.isDomainSuspected('briefs', 'north'));
  assert.not(directory.isDomainSuspected('briefs', 'south'));
  time.now += 701;
  assert.not(directory.isDomainSuspected('briefs', 'north'));
  assert.ok(directory.isDomainSuspected('briefs', 'north', 2_000));
});

test('lost engines do not make other services of their failure domain suspected', () => {
  const { directory } = createDirectory();
  const calls = createTarget('c1', { service: 'calls', port: 90 });
  directory.replaceAll([createTarget('t1'), createTarget('t2'), calls]);
  directory.observe('t1', { kind: 'lost' });
  directory.observe('t2', { kind: 'lost' });
  assert.ok(directory.isDomainSuspected('briefs', 'north'));
  assert.not(directory.isDomainSuspected('calls', 'north'));
});

test('a loss that a peer reports is applied, but not published again', () => {
  const { directory, lost } = createDirectory();
  directory.replaceAll([createTarget('t1'), createTarget('t2')]);
  directory.onPeerLoss('t1', 'lost');
  directory.observe('t2', { kind: 'lost' });
  assert.ok(directory.isSuspected('t1') && directory.isDomainSuspected('briefs', 'north'));
  assert.equal(lost, ['t2']);
});

test('a replaced incarnation is suspected, but its domain is not', () => {
  const { directory, time } = createDirectory();
  const ids = ['t1', 't2', 't3', 't4'];
  directory.replaceAll(ids.map((id) => createTarget(id)));
  ids.slice(0, 3).forEach((id) => directory.observe(id, { kind: 'replaced' }));
  assert.not(directory.isDomainSuspected('briefs', 'north'));
  time.now += 9_000;
  assert.ok(directory.isSuspected('t1'));
  assert.not(directory.isSuspected('t4'));
});

test('slowness is recorded, but not during or shortly after the reading of a prompt', () => {
  const { directory, time } = createDirectory();
  directory.replaceAll([createTarget('t1')]);
  const slowness = (): number => {
    const tracked = directory.get('t1');
    return tracked === undefined ? 0 : getSlowness(tracked.health, time.now);
  };
  const endReading = directory.startReadingPrompt('t1');
  directory.recordSlowness('t1', 5);
  assert.is(slowness(), 1);
  endReading();
  directory.recordSlowness('t1', 5);
  assert.is(slowness(), 1);
  time.now += 1_500;
  directory.recordSlowness('t1', 5);
  assert.is(slowness(), 5);
  time.now += 3_000;
  assert.is(slowness(), 3);
  directory.recordSlowness('t1', 1);
  assert.is(slowness(), 1);
});

test('the load of other VMs is summed, and subtracted when a VM is gone', () => {
  const { directory } = createDirectory();
  directory.replaceAll([createTarget('t1')]);
  directory.onPeerLoad(
    'vm-a',
    createLoadUpdate({ requests: 2, reading: 1, copies: 0, slowness: 1 }),
  );
  directory.onPeerLoad(
    'vm-b',
    createLoadUpdate({ requests: 3, reading: 2, copies: 0, slowness: 1 }),
  );
  assert.is(directory.get('t1')?.peerRequests, 5);
  assert.is(directory.get('t1')?.peerReading, 3);
  directory.onPeerLoad('vm-a', createLoadUpdate());
  assert.is(directory.get('t1')?.peerRequests, 3);
});

test('listeners are called when a slot is released or a target joins', () => {
  const { directory } = createDirectory();
  directory.replaceAll([createTarget('t1')]);
  let calls = 0;
  const unsubscribe = directory.subscribe(() => (calls += 1));
  const end = directory.startRequest('t1');
  end();
  directory.apply([{ kind: 'put', target: createTarget('t2') }]);
  assert.is(calls, 2);
  unsubscribe();
  directory.apply([{ kind: 'gone', id: 't2' }]);
  assert.is(calls, 2);
});

test.run();
