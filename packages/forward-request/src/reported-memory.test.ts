import createDecisionLog from '@limelead/decision-log';
import createMetrics from '@limelead/metrics';
import { createManualTime } from '@limelead/stand-ins';
import type { TargetConnections } from '@limelead/target-connections';
import { TargetDirectory } from '@limelead/track-service-targets';
import type { ServiceTarget } from '@limelead/types';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { TargetDialect } from './dialect.js';
import SilenceMonitor from './silence-monitor.js';
import toProbeResult from './to-probe-result.js';

const target: ServiceTarget = {
  ...{ id: 't1', service: 's', host: 'h', port: 1, failureDomain: 'd', slots: 4 },
  leaving: false,
};

/** Monitors a silent run whose target answers probes with its memory. */
function create() {
  const { clock, timers, advance } = createManualTime();
  const directory = new TargetDirectory(clock);
  directory.replaceAll([target]);
  const send: TargetConnections['send'] = (_target, _call, _options, handlers) => {
    queueMicrotask(() => handlers.onEnd());
    return { cancel: () => undefined, pause: () => false, resume: () => undefined };
  };
  const dialect = {
    composeProbe: () => ({ method: 'GET', path: '/', headers: [], body: Buffer.alloc(0) }),
    readProbe: () => toProbeResult({ waiting: 0, runs: [['r1', 9_000, 1]] }, 30_000),
  } as Partial<TargetDialect> as TargetDialect;
  const monitor = new SilenceMonitor({
    ...{ clock, timers, directory, dialect, random: { next: () => 0 }, metrics: createMetrics() },
    connections: { send } as unknown as TargetConnections,
    log: createDecisionLog({ vm: 'test', clock, output: (_, done) => done() }),
  });
  const stop = monitor.monitor({
    ...{ requestId: 'r1', target, isWriting: false, missedProbes: 0 },
    ...{ lastActivityAtMs: clock.now(), startedAtMs: clock.now() },
    maxPauseMs: 700,
    maxSilenceMs: () => 10_000,
    onSilent: () => undefined,
  });
  return { clock, directory, advance, stop };
}

// Guards against placement that ignores the memory in a report that is read for silence anyway.
test('the answer to a probe for silence corrects the tokens that count at the target', async () => {
  const { directory, advance, stop } = create();
  assert.is(directory.tokens.at('t1', 's'), 0);
  await advance(1_700);
  assert.is(directory.tokens.at('t1', 's'), 30_000);
  stop();
});

// Guards against state of removed targets that nothing drops.
test('an answer of a removed target is not kept', async () => {
  const { clock, directory, advance, stop } = create();
  directory.replaceAll([]);
  await advance(1_700);
  assert.is(directory.tokens.at('t1', 's'), 0);
  assert.is(directory.probeAnswers.ownAgeMs('t1', clock.now()), Infinity);
  stop();
});

test('a report without memory corrects nothing', () => {
  const report = { waiting: 2, runs: [['r1', 9_000, 1]] };
  assert.equal(toProbeResult(report, undefined), { waiting: 2, runs: new Set(['r1']) });
});

test.run();
