/** Measures memory and CPU time of a daemon in a separate process. */
import { DEMO_KEYS } from '@limelead/demo';
import { createClient } from '@limelead/client';
import startDaemonAndStandIns, { type DaemonProcesses } from '../processes.js';
import fitSlope, { type Slope } from './slope.js';

const STREAM_COUNTS = [250, 500, 1_000, 1_500];
const REQUEST_COUNTS = [500, 1_000, 1_500, 2_000];
const OPEN_STREAM_TOKENS = 2_000;
const CONCURRENCY = 32;
const TOKEN_STREAMS = 100;
const TOKEN_LENGTHS = [50, 100, 150, 200];
const KB = 1_024;

/** Keeps each stream slow, so that the callers' process can read many open streams. */
const SLOW_ENGINE = { slots: 4_000, baseGapMs: 400, loadSlowdown: 0 };
const QUICK_ENGINE = { slots: 4_000, baseGapMs: 20, loadSlowdown: 0 };

/** Measures all slopes of streams, requests, tokens and idle time. */
export default async function measureOpenStreams(): Promise<Slope[]> {
  const memorySlope = await withProcesses(SLOW_ENGINE, measureStreamMemory);
  const cpuSlopes = await withProcesses(QUICK_ENGINE, async (group) => [
    await measureRequests(group),
    await measureTokens(group),
    await measureIdle(group),
  ]);
  return [memorySlope, ...cpuSlopes];
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

/** Measures resident memory by number of open streams. */
async function measureStreamMemory(group: DaemonProcesses): Promise<Slope> {
  const points: [number, number][] = [];
  const aborts: AbortController[] = [];
  const client = createClient({ urls: [group.url], key: DEMO_KEYS.routing });
  for (const count of STREAM_COUNTS) {
    while (aborts.length < count) {
      const batch = Array.from({ length: Math.min(100, count - aborts.length) }, () => {
        const abort = new AbortController();
        aborts.push(abort);
        return openStream(client, `open-${aborts.length}`, abort.signal);
      });
      await Promise.all(batch);
    }
    points.push([count, (await group.readGauge('limelead_resident_bytes')) / KB]);
  }
  aborts.forEach((abort) => abort.abort());
  await client.close();
  return fitSlope('resident memory of the daemon', 'open stream', 'KB', points);
}

/** Resolves at the first token; the stream stays open in the background. */
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
          maxTokens: OPEN_STREAM_TOKENS,
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

/** Measures CPU time by number of requests with a single token. */
async function measureRequests(group: DaemonProcesses): Promise<Slope> {
  const points: [number, number][] = [];
  for (const count of REQUEST_COUNTS) {
    const cpuMs = await measureCpuMs(group, () => sendMany(group, `short-${count}`, count, 1));
    points.push([count, cpuMs]);
  }
  return fitSlope('processor time of the daemon', 'request', 'ms', points);
}

/** Measures CPU time by number of streamed tokens. */
async function measureTokens(group: DaemonProcesses): Promise<Slope> {
  const points: [number, number][] = [];
  for (const length of TOKEN_LENGTHS) {
    let tokens = 0;
    const cpuMs = await measureCpuMs(group, async () => {
      tokens = await sendMany(group, `long-${length}`, TOKEN_STREAMS, length, TOKEN_STREAMS);
    });
    points.push([tokens, cpuMs]);
  }
  return fitSlope('processor time of the daemon', 'token', 'ms', points);
}

/** Measures CPU time of an idle daemon by seconds. */
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
  const runWorker = async (): Promise<void> => {
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
  await Promise.all(Array.from({ length: concurrency }, runWorker));
  await client.close();
  return tokens;
}
