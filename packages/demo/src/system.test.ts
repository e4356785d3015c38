/** Tests a cluster of three VMs over real sockets. */
import { create } from '@bufbuild/protobuf';
import { createClient, type AnswerRequest, type Client } from '@limelead/client';
import { ApplyRequestSchema } from '@limelead/schema';
import { tokenAt } from '@limelead/stand-ins';
import { delay, systemTimers, type Resource } from '@limelead/types';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { DEMO_KEYS, startDemoCluster, type DemoCluster } from './index.js';
import toOperations from './to-operations.js';
import getOutcome from './get-outcome.fixture.js';
import waitUntil from './wait-until.fixture.js';

const PROMPT: AnswerRequest = {
  requestId: 'r1',
  service: 'in-cab',
  prompt: 'next turn',
  maxTokens: 20,
};

const clients: Client[] = [];

function createClusterClient(cluster: DemoCluster, key: string, first = 0): Client {
  const client = createClient({
    urls: cluster.vms.map(({ url }) => url),
    key,
    firstUrlIndex: first,
  });
  clients.push(client);
  return client;
}

async function withCluster(run: (cluster: DemoCluster) => Promise<void>): Promise<void> {
  const cluster = await startDemoCluster();
  try {
    await run(cluster);
  } finally {
    await Promise.all(clients.splice(0).map((client) => client.close()));
    await cluster.stop();
  }
}

async function readAnswer(client: Client, request: AnswerRequest): Promise<string[]> {
  const tokens: string[] = [];
  for await (const event of client.generate(request)) {
    if (event.kind === 'tokens') {
      tokens.push(...event.tokens);
    }
  }
  return tokens;
}

function organisation(name: string, requestsPerSecond: number): Resource {
  const spec = { name, keyHashes: [], weight: 1, requestsPerSecond, maxConcurrent: 1 };
  return { kind: 'organisation', spec };
}

function applyResource(client: Client, changeId: string, base: number, resource: Resource) {
  const request = create(ApplyRequestSchema, {
    changeId,
    baseRevision: BigInt(base),
    operations: toOperations([resource]),
    reason: 'test',
  });
  return client.administration.apply(request, { headers: client.headers });
}

test('a caller needs a known key, and the key of an organisation gives no access to administration', () =>
  withCluster(async (cluster) => {
    const stranger = createClusterClient(cluster, 'no-such-key');
    assert.is(await getOutcome(() => readAnswer(stranger, PROMPT)), 'unauthenticated/not-run');
    const caller = createClusterClient(cluster, DEMO_KEYS.haneul);
    const status = () => caller.administration.getStatus({}, { headers: caller.headers });
    assert.is(await getOutcome(status), 'permission-denied/not-run');
    const operator = createClusterClient(cluster, DEMO_KEYS.operator);
    assert.is(await getOutcome(() => readAnswer(operator, PROMPT)), 'unauthenticated/not-run');
  }));

test('invalid input is refused with the right error, and later requests succeed', () =>
  withCluster(async (cluster) => {
    const client = createClusterClient(cluster, DEMO_KEYS.routing);
    const bad: [Partial<AnswerRequest>, string][] = [
      [{ requestId: '' }, 'invalid-request/not-run'],
      [{ requestId: 'x'.repeat(65) }, 'invalid-request/not-run'],
      [{ prompt: '' }, 'invalid-request/not-run'],
      [{ prompt: 'x'.repeat(100_001) }, 'too-large/not-run'],
      [{ maxTokens: 0 }, 'invalid-request/not-run'],
      [{ maxTokens: 1_000_000 }, 'invalid-request/not-run'],
      [{ paceTokensPerSecond: -1 }, 'invalid-request/not-run'],
      [{ paceTokensPerSecond: Number.NaN }, 'invalid-request/not-run'],
      [{ service: 'nowhere' }, 'not-found/not-run'],
      [{ service: 'booking' }, 'invalid-request/not-run'],
      [{ priority: 'nowhere' }, 'not-found/not-run'],
    ];
    for (const [change, expected] of bad) {
      const found = await getOutcome(() => readAnswer(client, { ...PROMPT, ...change }));
      assert.is(found, expected, JSON.stringify(change).slice(0, 80));
    }
    assert.ok((await readAnswer(client, PROMPT)).length > 0);
  }));

test('an organisation cannot cancel a request of another organisation', () =>
  withCluster(async (cluster) => {
    const owner = createClusterClient(cluster, DEMO_KEYS.routing);
    const other = createClusterClient(cluster, DEMO_KEYS.haneul);
    const request = { ...PROMPT, service: 'route-brief', maxTokens: 200 };
    let cancelledByOther: boolean | undefined;
    const events = owner.generate(request);
    for await (const event of events) {
      if (event.kind === 'started') {
        cancelledByOther = await other.cancel(request.requestId);
        break;
      }
    }
    assert.is(cancelledByOther, false);
  }));

test('a cancelled answer ends with the error "cancelled", and the engine stops', () =>
  withCluster(async (cluster) => {
    const client = createClusterClient(cluster, DEMO_KEYS.routing);
    const request = { ...PROMPT, service: 'route-brief', maxTokens: 5_000 };
    const found = await getOutcome(async () => {
      for await (const event of client.generate(request)) {
        if (event.kind === 'tokens') {
          await client.cancel(request.requestId);
        }
      }
    });
    assert.is(found, 'cancelled/unknown');
    const records = () => cluster.engines.flatMap((engine) => engine.records());
    await waitUntil(() => records().every(({ ended }) => ended !== 'running'));
    assert.equal(
      records().map(({ ended }) => ended),
      ['cancelled'],
    );
  }));

test('a cancel sent to another VM cancels the answer', () =>
  withCluster(async (cluster) => {
    const caller = createClusterClient(cluster, DEMO_KEYS.routing, 0);
    const canceller = createClusterClient(cluster, DEMO_KEYS.routing, 1);
    const request = { ...PROMPT, service: 'route-brief', maxTokens: 5_000 };
    let cancelled: boolean | undefined;
    const found = await getOutcome(async () => {
      for await (const event of caller.generate(request)) {
        if (event.kind === 'tokens') {
          cancelled ??= await canceller.cancel(request.requestId);
        }
      }
    });
    assert.is(found, 'cancelled/unknown');
    assert.is(cancelled, true);
  }));

test('an accepted change reaches every VM, including one that starts during a store outage', () =>
  withCluster(async (cluster) => {
    const operator = createClusterClient(cluster, DEMO_KEYS.operator);
    const { revision } = await applyResource(operator, 'c1', 1, organisation('new', 5));
    cluster.platform.setOutage(true);
    await waitUntil(() =>
      cluster.vms.every(({ daemon }) => daemon.revision() === Number(revision)),
    );
    const late = await cluster.addVm();
    assert.is(late.daemon.revision(), Number(revision));
  }));

test('of concurrent changes through different VMs one is accepted, the others get a conflict', () =>
  withCluster(async (cluster) => {
    const operators = [0, 1, 2].map((first) =>
      createClient({ urls: [cluster.vms[first]?.url ?? ''], key: DEMO_KEYS.operator }),
    );
    clients.push(...operators);
    const outcomes = await Promise.all(
      operators.map((client, index) =>
        getOutcome(() => applyResource(client, `c${index}`, 1, organisation('raced', index + 1))),
      ),
    );
    assert.equal([...outcomes].sort(), ['answered', 'conflict/not-run', 'conflict/not-run']);
    await waitUntil(() => cluster.vms.every(({ daemon }) => daemon.revision() === 2));
  }));

test('the configuration does not revert when the store is restored from an older backup', () =>
  withCluster(async (cluster) => {
    const operator = createClusterClient(cluster, DEMO_KEYS.operator);
    const backup = cluster.platform.keyValueState.backUp();
    await applyResource(operator, 'c1', 1, organisation('new', 5));
    await waitUntil(() => cluster.vms.every(({ daemon }) => daemon.revision() === 2));
    cluster.platform.keyValueState.restore(backup);
    const storedRevision = () => {
      const { value } = cluster.platform.keyValueState.get('limelead/configuration/head');
      return (JSON.parse(value) as { revision: number }).revision;
    };
    assert.is(storedRevision(), 1);
    await waitUntil(() => storedRevision() === 2);
    assert.ok(cluster.vms.every(({ daemon }) => daemon.revision() === 2));
  }));

test('a call whose VM crashes while it runs is run once and reported as outcome unknown', () =>
  withCluster(async (cluster) => {
    const [vm] = cluster.vms;
    assert.ok(vm);
    const booking = { service: 'booking', operation: 'book-room' };
    // A VM that has just started may have no target and refuse the call. The retry through
    // another VM would then end without a run, because the first VM holds the claim.
    const warmUp = createClient({ urls: [vm.url], key: DEMO_KEYS.haneul });
    clients.push(warmUp);
    await warmUp.call({ ...booking, requestId: 'warm-up', repeatable: true });
    const client = createClusterClient(cluster, DEMO_KEYS.haneul);
    cluster.plainServices.forEach((service) => service.setCallDurationMs(500));
    const call = client.call({ ...booking, requestId: 'booking-1', repeatable: false });
    let ended: string | undefined;
    const outcome = getOutcome(() => call).then((kind) => (ended = kind));
    const runs = () =>
      cluster.plainServices.reduce(
        (sum, service) => sum + (service.runs().get('booking-1') ?? 0),
        0,
      );
    await waitUntil(() => runs() === 1 || ended !== undefined);
    assert.is(ended, undefined, 'the call ended before it ran');
    vm.isUp = false;
    await vm.daemon.kill();
    assert.is(await outcome, 'outcome-unknown/unknown');
    assert.is(runs(), 1);
  }));

test('a VM whose list of VMs is outdated sends no new requests to targets', () =>
  withCluster(async (cluster) => {
    const client = createClusterClient(cluster, DEMO_KEYS.routing);
    assert.ok((await readAnswer(client, PROMPT)).length > 0);
    cluster.platform.setVmListOutage(true);
    const singleAttemptClient = createClient({
      urls: [cluster.vms[0]?.url ?? ''],
      key: DEMO_KEYS.routing,
      maxAttempts: 1,
    });
    clients.push(singleAttemptClient);
    const isRefused = async () =>
      (await getOutcome(() => readAnswer(singleAttemptClient, PROMPT))).endsWith('/not-run');
    while (!(await isRefused())) {
      await delay(systemTimers, 100);
    }
    const begun = cluster.engines.flatMap((engine) => engine.records()).length;
    assert.ok(await isRefused());
    assert.is(cluster.engines.flatMap((engine) => engine.records()).length, begun);
    cluster.platform.setVmListOutage(false);
  }));

test('a leaving target gets no new requests, and its running generation finishes', () =>
  withCluster(async (cluster) => {
    const client = createClusterClient(cluster, DEMO_KEYS.routing);
    const long = readAnswer(client, { ...PROMPT, service: 'route-brief', maxTokens: 400 });
    const running = () => cluster.engines.find((engine) => engine.records().length > 0);
    await waitUntil(() => running() !== undefined);
    const leaving = running();
    assert.ok(leaving);
    cluster.platform.vms.setLeaving(leaving.id);
    const operator = createClusterClient(cluster, DEMO_KEYS.operator);
    const isKnown = async () => {
      const { targets } = await operator.administration.getStatus(
        {},
        { headers: operator.headers },
      );
      return targets.find(({ id }) => id === leaving.id)?.state === 'leaving';
    };
    while (!(await isKnown())) {
      await delay(systemTimers, 10);
    }
    const begun = leaving.records().length;
    for (let index = 0; index < 10; index += 1) {
      await readAnswer(client, { ...PROMPT, requestId: `after-${index}` });
    }
    assert.is(leaving.records().length, begun);
    assert.ok((await long).length > 0);
    assert.is(leaving.records()[0]?.ended, 'finished');
  }));

test('tokens of a partitioned engine that keeps generating are not mixed into the answer', () =>
  withCluster(async (cluster) => {
    const client = createClusterClient(cluster, DEMO_KEYS.routing);
    const request = { ...PROMPT, service: 'in-cab', maxTokens: 300 };
    const modelVersion = { model: 'cab-small', adapter: 'canterbury', version: '7' };
    const tokens: string[] = [];
    let seed = 0;
    let cutOff: (typeof cluster.engines)[number] | undefined;
    for await (const event of client.generate(request)) {
      seed = event.kind === 'started' && tokens.length === 0 ? Number(event.started.seed) : seed;
      tokens.push(...(event.kind === 'tokens' ? event.tokens : []));
      if (tokens.length > 20 && cutOff === undefined) {
        cutOff = cluster.engines.find((engine) => engine.records().length > 0);
        cutOff?.partition();
      }
      if (tokens.length > 150) {
        cutOff?.endPartition();
      }
    }
    const source = { prompt: request.prompt, modelVersion, seed };
    assert.ok(tokens.length > 150);
    assert.ok(tokens.every((token, at) => token === tokenAt(source, at)));
    await waitUntil(() => cutOff?.records()[0]?.ended !== 'running');
  }));

test('a graceful stop under load interrupts no request', () =>
  withCluster(async (cluster) => {
    const answers = Array.from({ length: 12 }, (_, index) =>
      readAnswer(createClusterClient(cluster, DEMO_KEYS.routing, index), {
        ...PROMPT,
        requestId: `r${index}`,
        service: 'route-brief',
        maxTokens: 150,
      }),
    );
    const begun = () => cluster.engines.flatMap((engine) => engine.records()).length;
    await waitUntil(() => begun() === 12);
    const vm = cluster.vms[0];
    assert.ok(vm);
    vm.isUp = false;
    await vm.daemon.stop();
    assert.ok((await Promise.all(answers)).every((tokens) => tokens.length > 0));
    assert.is(begun(), 12, 'nothing was computed again');
  }));

test('concurrent callers each get the answer to their own prompt', () =>
  withCluster(async (cluster) => {
    const answers = await Promise.all(
      Array.from({ length: 30 }, async (_, index) => {
        const prompt = `prompt number ${index}`;
        const client = createClusterClient(cluster, DEMO_KEYS.routing, index);
        let seed = 0;
        const tokens: string[] = [];
        for await (const event of client.generate({ ...PROMPT, requestId: `r${index}`, prompt })) {
          seed = event.kind === 'started' ? Number(event.started.seed) : seed;
          tokens.push(...(event.kind === 'tokens' ? event.tokens : []));
        }
        const modelVersion = { model: 'cab-small', adapter: 'canterbury', version: '7' };
        return tokens.every((token, at) => token === tokenAt({ prompt, modelVersion, seed }, at));
      }),
    );
    assert.ok(answers.every((isOwn) => isOwn));
  }));

test.run();
