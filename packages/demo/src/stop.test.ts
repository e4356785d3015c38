/** Tests how a VM ends the requests that are open at the end of its drain. */
import { createClient, type Client } from '@limelead/client';
import { delay, systemTimers } from '@limelead/types';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { DEMO_KEYS, startDemoCluster, type DemoCluster } from './index.js';
import getOutcome from './get-outcome.fixture.js';
import waitUntil from './wait-until.fixture.js';

const DRAIN_MS = 300;
const CALL_MS = 3_000;
const PROMPT = { requestId: 'r1', service: 'route-brief', prompt: 'shift', maxTokens: 5_000 };
/** Flags and length before each message of a streamed request. */
const ENVELOPE_BYTES = 5;

async function withVm(run: (cluster: DemoCluster, client: Client) => Promise<void>): Promise<void> {
  const cluster = await startDemoCluster({ vms: 1, timing: { drainMs: DRAIN_MS } });
  const urls = cluster.urls();
  const client = createClient({ urls, key: DEMO_KEYS.routing, maxAttempts: 1 });
  try {
    await run(cluster, client);
  } finally {
    await client.close();
    await cluster.stop();
  }
}

async function stopVm(cluster: DemoCluster): Promise<void> {
  const [vm] = cluster.vms;
  assert.ok(vm);
  vm.isUp = false;
  await vm.daemon.stop();
}

/** Streams an answer that may not be resumed; returns the text of its last messages. */
async function streamNotResumable(url: string, headers: Record<string, string>): Promise<string> {
  const message = Buffer.from(JSON.stringify({ ...PROMPT, resumable: false }));
  const envelope = Buffer.alloc(ENVELOPE_BYTES);
  envelope.writeUInt32BE(message.length, 1);
  const response = await fetch(`${url}/limelead.v1.Generation/Generate`, {
    method: 'POST',
    headers: { ...headers, 'content-type': 'application/connect+json' },
    body: Buffer.concat([envelope, message]),
  });
  return response.text().catch(() => 'connection closed');
}

test('a stopping VM closes the connection of an answer that may not be resumed', () =>
  withVm(async (cluster, client) => {
    const text = streamNotResumable(cluster.urls()[0] ?? '', client.headers);
    await waitUntil(() => cluster.engines.some((engine) => engine.records().length > 0));
    await stopVm(cluster);
    assert.match((await text).slice(-300), '"code":"unavailable"');
  }));

test('a stopping VM closes the connection of an answer that has not started', () =>
  withVm(async (cluster, client) => {
    cluster.engines.forEach((engine) => engine.pause());
    const outcome = getOutcome(() => client.generate(PROMPT).next());
    await delay(systemTimers, 100);
    await stopVm(cluster);
    assert.is(await outcome, 'shutting-down/run');
  }));

test('a stopping VM closes the connection of a call', () =>
  withVm(async (cluster) => {
    const client = createClient({ urls: cluster.urls(), key: DEMO_KEYS.haneul, maxAttempts: 1 });
    const runs = () => cluster.plainServices.reduce((sum, service) => sum + service.runs().size, 0);
    cluster.plainServices.forEach((service) => service.setCallDurationMs(CALL_MS));
    const booking = { service: 'booking', operation: 'book-room', requestId: 'b1' };
    const outcome = getOutcome(() => client.call({ ...booking, repeatable: false }));
    await waitUntil(() => runs() > 0);
    await stopVm(cluster);
    assert.is(await outcome, 'outcome-unknown/unknown');
    await client.close();
  }));

test('a second stop is over before the first one', () =>
  withVm(async ({ vms: [vm] }) => {
    assert.ok(vm);
    vm.isUp = false;
    const over: string[] = [];
    const first = vm.daemon.stop().then(() => over.push('first'));
    const second = vm.daemon.stop().then(() => over.push('second'));
    await Promise.all([first, second]);
    assert.equal(over, ['first', 'second']);
  }));

test.run();
