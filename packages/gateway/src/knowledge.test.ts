import createDecisionLog from '@limelead/decision-log';
import type { StoreItem } from '@limelead/follow-store';
import { TargetDirectory } from '@limelead/track-service-targets';
import type { ServiceTarget } from '@limelead/types';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import Knowledge from './knowledge.js';

const clock = { now: () => 1_000 };

function toTarget(id: string): ServiceTarget {
  const port = Number(id.replace(/\D/g, '')) + 1;
  return { id, service: 's', host: 'h', port, failureDomain: 'd', slots: 1, leaving: false };
}

function item(key: string, revision: number): StoreItem {
  return { key, value: Buffer.from(String(revision)), revision };
}

/** Knowledge whose store holds a configuration under "c" and targets under "t1", "t2" and so on. */
function create() {
  const decoded: string[] = [];
  const versions: number[] = [];
  const directory = new TargetDirectory(clock);
  const knowledge = new Knowledge({
    clock,
    timers: { after: () => () => undefined },
    log: createDecisionLog({ vm: 'test', clock, output: (_, done) => done() }),
    leavingTargetMs: 2_000,
    directory,
    dialect: {
      read({ key, value }) {
        decoded.push(key);
        if (key !== 'c') {
          return { kind: 'target', target: toTarget(key) };
        }
        const limits = {
          maxHeaderBytes: 1,
          maxBodyBytes: 1,
          headerTimeoutMs: 1,
          idleTimeoutMs: 1,
        };
        const version = Number(value.toString());
        return {
          kind: 'configuration',
          configuration: { version, routes: [], services: [], limits },
        };
      },
      readTargetId: (key) => (key === 'c' ? undefined : key),
    },
    onConfiguration: ({ version }) => versions.push(version),
    onChange: () => undefined,
  });
  const ids = (): string[] => directory.all().map(({ target }) => target.id);
  return { knowledge, decoded, versions, ids };
}

test('what did not change is not decoded again', () => {
  const { knowledge, decoded, versions, ids } = create();
  knowledge.takeList({ items: [item('c', 5), item('t1', 3)], revision: 6 });
  decoded.length = 0;
  knowledge.takeList({ items: [item('c', 5), item('t1', 3), item('t2', 8)], revision: 9 });
  assert.equal(decoded, ['t2']);
  assert.equal(versions, [5]);
  assert.equal(ids(), ['t1', 't2']);
});

test("a peer's update brings what is newer, and ends what is gone", () => {
  const { knowledge, versions, ids } = create();
  knowledge.takeList({ items: [item('c', 5), item('t1', 3), item('t2', 4)], revision: 6 });
  knowledge.takePeerUpdate({ items: [item('c', 8)], keys: ['c', 't2'], revision: 9 });
  assert.equal(versions, [5, 8]);
  assert.equal(ids(), ['t2']);
  assert.is(knowledge.revision, 9);
});

test('an update that is older than what is known changes nothing', () => {
  const { knowledge, versions, ids } = create();
  knowledge.takeList({ items: [item('c', 5), item('t1', 3)], revision: 6 });
  knowledge.takePeerUpdate({ items: [item('c', 4)], keys: ['c'], revision: 6 });
  assert.equal(versions, [5]);
  assert.equal(ids(), ['t1']);
});

test.run();
