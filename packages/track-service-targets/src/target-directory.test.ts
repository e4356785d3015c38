import type { ServiceTarget } from '@limelead/types';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import {
  readSlowness,
  TargetDirectory,
  type PacedLoad,
  type TargetNotice,
  type ToldLoad,
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

function tellLoad(atT1?: PacedLoad): ToldLoad {
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
      onLost: (id) => lost.push(id),
      hasAnnouncedLeaving: (id) => announced.has(id),
    },
  );
  const announce = (id: string): void => {
    announced.add(id);
    directory.onAnnouncedLeaving(id);
  };
  return { time, notices, lost, announce, directory };
}

test('a leaving target takes no new work at once, and keeps what it has', () => {
  const { directory } = createDirectory();
  directory.replaceAll([createTarget('t1'), createTarget('t2')]);
  const end = directory.begin('t1');
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

test('what a target itself said of its leaving is lifted by no entry, but by its end', () => {
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

test('a new incarnation at the same address replaces the old one with all suspicion', () => {
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

test('a complete list ends what it does not hold', () => {
  const { directory } = createDirectory();
  directory.replaceAll([createTarget('t1'), createTarget('t2')]);
  directory.replaceAll([createTarget('t2')]);
  assert.is(directory.size, 1);
});

test('suspicion passes, lasts longer each time, and ends with an answer', () => {
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

test('two losses close together put the whole failure domain in doubt, for a while', () => {
  const { directory, time } = createDirectory();
  directory.replaceAll([
    createTarget('t1'),
    createTarget('t2'),
    createTarget('t3', { failureDomain: 'south' }),
  ]);
  directory.observe('t1', { kind: 'lost' });
  assert.not(directory.isDomainDoubtful('briefs', 'north'));
  directory.observe('t2', { kind: 'lost' });
  assert.ok(directory.isDomainDoubtful('briefs', 'north'));
  assert.not(directory.isDomainDoubtful('briefs', 'south'));
  time.now += 701;
  assert.not(directory.isDomainDoubtful('briefs', 'north'));
  assert.ok(directory.isDomainDoubtful('briefs', 'north', 2_000));
});

test('lost engines say nothing of the other services of their failure domain', () => {
  const { directory } = createDirectory();
  const calls = createTarget('c1', { service: 'calls', port: 90 });
  directory.replaceAll([createTarget('t1'), createTarget('t2'), calls]);
  directory.observe('t1', { kind: 'lost' });
  directory.observe('t2', { kind: 'lost' });
  assert.ok(directory.isDomainDoubtful('briefs', 'north'));
  assert.not(directory.isDomainDoubtful('calls', 'north'));
});

test('a loss that another VM told is believed, but not told again', () => {
  const { directory, lost } = createDirectory();
  directory.replaceAll([createTarget('t1'), createTarget('t2')]);
  directory.takePeerLoss('t1', 'lost');
  directory.observe('t2', { kind: 'lost' });
  assert.ok(directory.isSuspected('t1') && directory.isDomainDoubtful('briefs', 'north'));
  assert.equal(lost, ['t2']);
});

test('an incarnation whose address another one holds is left alone, without doubt of its domain', () => {
  const { directory, time } = createDirectory();
  const ids = ['t1', 't2', 't3', 't4'];
  directory.replaceAll(ids.map((id) => createTarget(id)));
  ids.slice(0, 3).forEach((id) => directory.observe(id, { kind: 'replaced' }));
  assert.not(directory.isDomainDoubtful('briefs', 'north'));
  time.now += 9_000;
  assert.ok(directory.isSuspected('t1'));
  assert.not(directory.isSuspected('t4'));
});

test('a pace tells of a slow target, but not beside a prompt that is read or was just read', () => {
  const { directory, time } = createDirectory();
  directory.replaceAll([createTarget('t1')]);
  const slowness = (): number => {
    const tracked = directory.get('t1');
    return tracked === undefined ? 0 : readSlowness(tracked.evidence, time.now);
  };
  const endReading = directory.beginReading('t1');
  directory.notePace('t1', 5);
  assert.is(slowness(), 1);
  endReading();
  directory.notePace('t1', 5);
  assert.is(slowness(), 1);
  time.now += 1_500;
  directory.notePace('t1', 5);
  assert.is(slowness(), 5);
  time.now += 3_000;
  assert.is(slowness(), 3);
  directory.notePace('t1', 1);
  assert.is(slowness(), 1);
});

test('the load of other VMs is summed, and goes with the VM that told it', () => {
  const { directory } = createDirectory();
  directory.replaceAll([createTarget('t1')]);
  directory.takePeerLoad('vm-a', tellLoad({ requests: 2, reading: 1, copies: 0, slowness: 1 }));
  directory.takePeerLoad('vm-b', tellLoad({ requests: 3, reading: 2, copies: 0, slowness: 1 }));
  assert.is(directory.get('t1')?.peerRequests, 5);
  assert.is(directory.get('t1')?.peerReading, 3);
  directory.takePeerLoad('vm-a', tellLoad());
  assert.is(directory.get('t1')?.peerRequests, 3);
});

test('those who wait are woken when a place is free or a target joins', () => {
  const { directory } = createDirectory();
  directory.replaceAll([createTarget('t1')]);
  let woken = 0;
  const unsubscribe = directory.subscribe(() => (woken += 1));
  const end = directory.begin('t1');
  end();
  directory.apply([{ kind: 'put', target: createTarget('t2') }]);
  assert.is(woken, 2);
  unsubscribe();
  directory.apply([{ kind: 'gone', id: 't2' }]);
  assert.is(woken, 2);
});

test.run();
