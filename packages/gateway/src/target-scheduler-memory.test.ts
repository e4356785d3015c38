import { NO_RATE_LIMITS, OPEN_GATE } from '@limelead/forward-request';
import { createLocality } from '@limelead/locality';
import type { SchedulerAnswer, SchedulerRequest } from '@limelead/share-evidence';
import { TargetDirectory } from '@limelead/track-service-targets';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import TargetScheduler from './target-scheduler.js';

const clock = { now: () => 1_000 };

function create(capacityTokens: number, slots = 32) {
  const directory = new TargetDirectory(clock);
  directory.replaceAll(
    ['t1', 't2'].map((id, port) => ({
      ...{ id, service: 's', host: 'h', port, failureDomain: 'north', slots, leaving: false },
    })),
  );
  const scheduler = new TargetScheduler({
    ...{ self: 'self', clock, directory, gate: OPEN_GATE, permits: NO_RATE_LIMITS },
    locality: createLocality({ failureDomain: 'north', regionOf: {} }),
    memoryTokensOf: () => capacityTokens,
  });
  let number = 0;
  const ask = (question: Partial<SchedulerRequest> = {}): SchedulerAnswer | undefined => {
    number += 1;
    return scheduler.advise(`vm-${number}`, {
      ...{ service: 's', affinityKey: `k${number}`, failureDomain: 'north', exclude: [] },
      ...{ number, part: 0, parts: 1, tokens: 9_000, ...question },
    });
  };
  return { directory, ask };
}

// Guards against a scheduler that advises one target's memory to several VMs at the same time.
test('advised runs and replicas fill the memory, and then the scheduler states that there is no room', () => {
  const { directory, ask } = create(36_000);
  const targets = Array.from({ length: 4 }, () => ask()?.target);
  assert.equal([...targets].sort(), ['t1', 't1', 't2', 't2']);
  assert.equal(ask(), { noRoom: true });
  assert.ok(['t1', 't2'].includes(ask({ isLastResort: true })?.target ?? ''));
  assert.ok(directory.tokens.at('t1', 's') >= 27_000 || directory.tokens.at('t2', 's') >= 27_000);
});

// Guards against requests of older VMs, and deployments of unknown memory, served differently.
test('without tokens or without known memory only slots limit the advice', () => {
  for (const [capacityTokens, tokens] of [[36_000, undefined] as const, [0, 9_000] as const]) {
    const { ask } = create(capacityTokens, 3);
    const targets = Array.from({ length: 6 }, () => ask({ tokens })?.target);
    assert.not(targets.includes(undefined));
    assert.is(ask({ tokens }), undefined);
  }
});

test.run();
