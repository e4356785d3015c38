/** Compares the CPU cost of the daemon with a bare relay to the same engine. */
import { createClient } from '@limelead/client';
import { DEMO_KEYS, DEMO_VERSIONS } from '@limelead/demo';
import { spawn } from 'node:child_process';
import { fileURLToPath } from 'node:url';
import { Agent } from 'undici';
import ResultTable, { type Experiment } from '../experiment.js';
import startDaemonAndStandIns, {
  killProcess,
  readLine,
  type DaemonProcesses,
} from '../processes.js';

const BARE_RELAY = fileURLToPath(new URL('../../bin/bare-relay.js', import.meta.url));
const STREAMS = 200;
const TOKENS_PER_STREAM = 300;
const SHORT_REQUESTS = 1_000;
const SHORT_CONCURRENCY = 32;

/** A relay under measurement and its resource usage. */
interface MeasuredRelay {
  /** Reads one answer and returns its number of tokens. */
  read(requestId: string, maxTokens: number): Promise<number>;
  /** Returns the CPU time used since the start of the process. */
  cpuMs(): Promise<number>;
  residentMb(): Promise<number>;
}

/** Measures both relays with the same engine, one after the other. */
const relay: Experiment = {
  name: 'relay',
  async run({ seeds }) {
    const table = new ResultTable();
    for (const seed of seeds) {
      const group = await startDaemonAndStandIns({ slots: 1_000, baseGapMs: 10, loadSlowdown: 0 });
      try {
        await measure(table, 'limelead', createLimeleadRelay(group), seed);
        await withBareRelay(group, (bareRelay) => measure(table, 'bare relay', bareRelay, seed));
      } finally {
        await group.stop();
      }
    }
    return {
      name: 'relay',
      question:
        'What does a token and a request cost in the daemon, against a relay that does nothing else?',
      setting: `one process each for engine, relay and callers; ${STREAMS} streams of up to ${TOKENS_PER_STREAM} tokens at 10 ms, then ${SHORT_REQUESTS} requests of one token`,
      columns: [
        'tokens/s',
        'ms per 1,000 tokens',
        'tokens/s on one core',
        'ms per request',
        'resident MB',
      ],
      baseline: 'bare relay',
      rows: table.list(),
    };
  },
};

async function measure(
  table: ResultTable,
  name: string,
  measuredRelay: MeasuredRelay,
  seed: number,
): Promise<void> {
  // Warms up the JIT compiler.
  await readMany(measuredRelay, `warm-${name}-${seed}`, 100, 50, 100);
  const startedAt = performance.now();
  const beforeTokens = await measuredRelay.cpuMs();
  const tokens = await readMany(
    measuredRelay,
    `long-${name}-${seed}`,
    STREAMS,
    TOKENS_PER_STREAM,
    STREAMS,
  );
  const seconds = (performance.now() - startedAt) / 1_000;
  const tokenMs = (await measuredRelay.cpuMs()) - beforeTokens;
  const residentMb = await measuredRelay.residentMb();
  const beforeShort = await measuredRelay.cpuMs();
  await readMany(measuredRelay, `short-${name}-${seed}`, SHORT_REQUESTS, 1, SHORT_CONCURRENCY);
  const shortMs = (await measuredRelay.cpuMs()) - beforeShort;
  table.add(name, {
    'tokens/s': tokens / seconds,
    'ms per 1,000 tokens': (tokenMs / tokens) * 1_000,
    'tokens/s on one core': (tokens / tokenMs) * 1_000,
    'ms per request': shortMs / SHORT_REQUESTS,
    'resident MB': residentMb,
  });
}

async function readMany(
  measuredRelay: MeasuredRelay,
  idPrefix: string,
  count: number,
  maxTokens: number,
  concurrency: number,
): Promise<number> {
  let next = 0;
  let tokens = 0;
  const runWorker = async (): Promise<void> => {
    while (next < count) {
      next += 1;
      // `tokens += await …` would lose the tokens added by other workers meanwhile.
      const answerTokens = await measuredRelay.read(
        `${idPrefix}-${next}`.replaceAll(' ', '-'),
        maxTokens,
      );
      tokens += answerTokens;
    }
  };
  await Promise.all(Array.from({ length: concurrency }, runWorker));
  return tokens;
}

function createLimeleadRelay(group: DaemonProcesses): MeasuredRelay {
  const client = createClient({ urls: [group.url], key: DEMO_KEYS.routing });
  return {
    async read(requestId, maxTokens) {
      let tokens = 0;
      const request = { requestId, service: 'in-cab', prompt: 'next turn', maxTokens };
      for await (const event of client.generate(request)) {
        tokens += event.kind === 'tokens' ? event.tokens.length : 0;
      }
      return tokens;
    },
    cpuMs: () => group.readGauge('limelead_cpu_milliseconds'),
    residentMb: async () => (await group.readGauge('limelead_resident_bytes')) / 2 ** 20,
  };
}

async function withBareRelay(
  group: DaemonProcesses,
  run: (bareRelay: MeasuredRelay) => Promise<void>,
): Promise<void> {
  const list = (await (await fetch(`http://127.0.0.1:${group.platformPort}/v1/vms`)).json()) as {
    vms: { role: string; port: number }[];
  };
  const enginePort = list.vms.find(({ role }) => role === 'engine')?.port ?? 0;
  const child = spawn(process.execPath, [BARE_RELAY, `http://127.0.0.1:${enginePort}`], {
    stdio: ['ignore', 'pipe', 'inherit'],
  });
  const origin = `http://127.0.0.1:${await readLine(child)}`;
  const agent = new Agent({ pipelining: 1, bodyTimeout: 0, headersTimeout: 0 });
  try {
    await run(createBareRelay(origin, agent));
  } finally {
    await agent.destroy();
    await killProcess(child);
  }
}

function createBareRelay(origin: string, agent: Agent): MeasuredRelay {
  const readCost = async () =>
    (await (await fetch(`${origin}/cpu`)).json()) as {
      milliseconds: number;
      residentBytes: number;
    };
  return {
    async read(requestId, maxTokens) {
      const response = await agent.request({
        origin,
        path: '/',
        method: 'POST',
        headers: { 'content-type': 'application/json' },
        body: JSON.stringify({
          generationId: requestId,
          attempt: 1,
          modelVersion: DEMO_VERSIONS.prompt,
          prompt: 'next turn',
          forcedPrefix: [],
          seed: 1,
          maxTokens,
          rank: 0,
          paceTokensPerSecond: 0,
        }),
      });
      return countTokens(await response.body.text());
    },
    cpuMs: async () => (await readCost()).milliseconds,
    residentMb: async () => (await readCost()).residentBytes / 2 ** 20,
  };
}

function countTokens(lines: string): number {
  return lines
    .split('\n')
    .filter((line) => line.includes('"tokens"'))
    .reduce((sum, line) => sum + (JSON.parse(line) as { tokens: string[] }).tokens.length, 0);
}

export default relay;
