/** Memory and processor time of open streams, in daemons of their own. */
import { DEMO_KEYS } from '@limelead/demo';
import { createClient } from '@limelead/client';
import startDaemonAndStandIns, { type DaemonProcesses } from '../processes.js';
import fitSlope, { type Slope } from './slope.js';

const STREAMS = [250, 500, 1_000, 1_500];
const REQUESTS = [500, 1_000, 1_500, 2_000];
const OPEN_TOKENS = 2_000;
const CONCURRENCY = 32;
const TOKEN_STREAMS = 100;
const TOKEN_LENGTHS = [50, 100, 150, 200];
const KB = 1_024;

/** Many streams are open at a time; each is slow, so that the callers' process keeps up. */
const SLOW_ENGINE = { slots: 4_000, baseGapMs: 400, loadSlowdown: 0 };
const QUICK_ENGINE = { slots: 4_000, baseGapMs: 20, loadSlowdown: 0 };

/** Measures against daemons with one engine each. */
export default async function measureOpenStreams(): Promise<Slope[]> {
  const held = await withProcesses(SLOW_ENGINE, measureHeld);
  const others = await withProcesses(QUICK_ENGINE, async (group) => [
    await measureRequests(group),
    await measureTokens(group),
    await measureIdle(group),
  ]);
  return [held, ...others];
}

async function withProcesses<Result>(
  engine: typeof SLOW_ENGINE,
  run: (group: DaemonProcesses) => Promise<Result>,
): Promise<Result> {
  const group = await startDaemonAndStandIns(engine);
  try {
    return await run(group);
  } finally {
    await group.stop();
  }
}

/** Resident memory with so many streams open at a time. */
async function measureHeld(group: DaemonProcesses): Promise<Slope> {
  const points: [number, number][] = [];
  const aborts: AbortController[] = [];
  const client = createClient({ urls: [group.url], key: DEMO_KEYS.routing });
  for (const wanted of STREAMS) {
    while (aborts.length < wanted) {
      const batch = Array.from({ length: Math.min(100, wanted - aborts.length) }, () => {
        const abort = new AbortController();
        aborts.push(abort);
        return openStream(client, `open-${aborts.length}`, abort.signal);
      });
      await Promise.all(batch);
    }
    points.push([wanted, (await group.readGauge('limelead_resident_bytes')) / KB]);
  }
  aborts.forEach((abort) => abort.abort());
  await client.close();
  return fitSlope('resident memory of the daemon', 'open stream', 'KB', points);
}

/** Resolves with the first token; the stream stays open in the background. */
function openStream(
  client: ReturnType<typeof createClient>,
  requestId: string,
  signal: AbortSignal,
): Promise<void> {
  return new Promise((resolve, reject) => {
    void (async () => {
      try {
        const request = {
          requestId,
          service: 'route-brief',
          prompt: 'x'.repeat(2_000),
          maxTokens: OPEN_TOKENS,
        };
        for await (const event of client.generate(request, signal)) {
          if (event.kind === 'tokens') {
            resolve();
          }
        }
      } catch (thrown) {
        if (!signal.aborted) {
          reject(thrown);
        }
      }
    })();
  });
}

/** Processor time of requests with a single token. */
async function measureRequests(group: DaemonProcesses): Promise<Slope> {
  const points: [number, number][] = [];
  for (const count of REQUESTS) {
    const spent = await measureCpuMs(group, () => sendMany(group, `short-${count}`, count, 1));
    points.push([count, spent]);
  }
  return fitSlope('processor time of the daemon', 'request', 'ms', points);
}

/** Processor time of tokens, each in a message of its own. */
async function measureTokens(group: DaemonProcesses): Promise<Slope> {
  const points: [number, number][] = [];
  for (const length of TOKEN_LENGTHS) {
    let tokens = 0;
    const spent = await measureCpuMs(group, async () => {
      tokens = await sendMany(group, `long-${length}`, TOKEN_STREAMS, length, TOKEN_STREAMS);
    });
    points.push([tokens, spent]);
  }
  return fitSlope('processor time of the daemon', 'token', 'ms', points);
}

/** Processor time and nothing to do; the size is seconds. */
async function measureIdle(group: DaemonProcesses): Promise<Slope> {
  const points: [number, number][] = [];
  for (const seconds of [1, 2, 3, 4]) {
    const wait = () => new Promise<void>((resolve) => setTimeout(resolve, seconds * 1_000));
    points.push([seconds, await measureCpuMs(group, wait)]);
  }
  return fitSlope('processor time of an idle daemon (1 engine polled)', 'second', 'ms', points);
}

async function measureCpuMs(group: DaemonProcesses, run: () => Promise<unknown>): Promise<number> {
  const before = await group.readGauge('limelead_cpu_milliseconds');
  await run();
  return (await group.readGauge('limelead_cpu_milliseconds')) - before;
}

async function sendMany(
  group: DaemonProcesses,
  idPrefix: string,
  count: number,
  maxTokens: number,
  concurrency = CONCURRENCY,
): Promise<number> {
  const client = createClient({ urls: [group.url], key: DEMO_KEYS.routing });
  let next = 0;
  let tokens = 0;
  const work = async (): Promise<void> => {
    while (next < count) {
      next += 1;
      const request = {
        requestId: `${idPrefix}-${next}`,
        service: 'in-cab',
        prompt: 'x'.repeat(200),
        maxTokens,
      };
      for await (const event of client.generate(request)) {
        tokens += event.kind === 'tokens' ? event.tokens.length : 0;
      }
    }
  };
  await Promise.all(Array.from({ length: concurrency }, work));
  await client.close();
  return tokens;
}
