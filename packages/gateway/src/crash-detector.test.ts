import { TargetConnections } from '@limelead/target-connections';
import { TargetDirectory } from '@limelead/track-service-targets';
import { steadyClock as clock, systemTimers as timers, type ServiceTarget } from '@limelead/types';
import { createServer, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import CrashDetector from './crash-detector.js';

interface StartOptions {
  /** Whether the VM connected to another target after the failure. */
  hasConnected?: boolean;
  /** Service of a target by its number. */
  serviceOf?(index: number): string;
}

/** Starts targets in two failure domains and stops those that are down. */
async function start(isUp: readonly boolean[], options: StartOptions = {}) {
  const { hasConnected = false, serviceOf = () => 'api' } = options;
  const servers: Server[] = [];
  const targets: ServiceTarget[] = [];
  for (const [index, stays] of isUp.entries()) {
    const server = createServer((_, response) => response.end('{}'));
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
    const { port } = server.address() as AddressInfo;
    const failureDomain = index < 2 ? 'north' : 'south';
    const address = { host: '127.0.0.1', port };
    targets.push({
      id: `t${index}`,
      ...{ service: serviceOf(index), failureDomain, slots: 1, leaving: false, ...address },
    });
    if (stays) {
      servers.push(server);
    } else {
      await new Promise((resolve) => server.close(resolve));
    }
  }
  const directory = new TargetDirectory(clock);
  directory.replaceAll(targets);
  const connections = new TargetConnections({
    ...{ clock, timers, connectTimeoutMs: 200, maxIdlePerTarget: 1 },
  });
  const detector = new CrashDetector({
    ...{ clock, timers, directory, connections },
    dialect: {
      composeProbe: () => ({
        method: 'GET',
        path: '/',
        headers: ['host', 't'],
        body: Buffer.alloc(0),
      }),
    },
    log: { write: () => undefined },
    hasConnectedSince: () => hasConnected,
  });
  const stop = (): void => {
    connections.closeAll();
    servers.forEach((server) => server.close());
  };
  return { detector, directory, targets, stop };
}

async function check(isUp: readonly boolean[], options?: StartOptions): Promise<string> {
  const { detector, stop } = await start(isUp, options);
  const result = await detector.checkTarget('t0', clock.now());
  stop();
  return result;
}

test('a target that does not answer has ended if a target of another failure domain answers', async () => {
  assert.is(await check([false, false, true]), 'ended');
  assert.is(await check([true, true, true]), 'running');
});

test('a VM that reaches no target does not know what ended', async () => {
  assert.is(await check([false, false, false]), 'unknown');
});

test('a target has ended if the VM has connected to others meanwhile, or knows no other', async () => {
  assert.is(await check([false, false, false], { hasConnected: true }), 'ended');
  assert.is(await check([false]), 'ended');
});

test('a target of a service that is all down has ended if a target of another service answers', async () => {
  const serviceOf = (index: number): string => (index < 4 ? 'api' : 'llm');
  assert.is(await check([false, false, false, false, true], { serviceOf }), 'ended');
});

test('an answer that was read right after a run broke does not show that its target is running', async () => {
  const { detector, directory, stop } = await start([false, true, true]);
  const brokeAtMs = clock.now();
  directory.recordActivity('t0');
  assert.is(await detector.checkTarget('t0', brokeAtMs), 'ended');
  stop();
});

test('a target that is silent has not ended, one that refuses connections has', async () => {
  const { detector, directory, targets, stop } = await start([false, true, true]);
  const answers = await Promise.all(['t0', 't1'].map((id) => detector.hasEnded(id, clock.now())));
  const silent = createServer(() => undefined);
  await new Promise<void>((resolve) => silent.listen(0, '127.0.0.1', resolve));
  const { port } = silent.address() as AddressInfo;
  directory.replaceAll(
    targets.map((target) => (target.id === 't0' ? { ...target, port } : target)),
  );
  const hasEnded = await detector.hasEnded('t0', clock.now());
  silent.closeAllConnections();
  silent.close();
  stop();
  assert.equal([...answers, hasEnded], [true, false, false]);
});

test('a target that announced that it leaves has not ended', async () => {
  const { detector, directory, targets, stop } = await start([false, true, true]);
  directory.replaceAll(targets.map((target) => ({ ...target, leaving: true })));
  assert.is(await detector.hasEnded('t0', clock.now()), false);
  stop();
});

test.run();
