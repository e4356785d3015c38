/** Cost of the daemon against a bare relay over the same engine. */
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
const TOKENS = 300;
const SHORT_REQUESTS = 1_000;
const SHORT_CONCURRENCY = 32;

/** Something that relays, and what it has spent so far. */
interface Relay {
  /** Reads one answer; gives its number of tokens. */
  read(requestId: string, maxTokens: number): Promise<number>;
  cpuMs(): Promise<number>;
  residentMb(): Promise<number>;
}

/** Measures both over the same engine, one after the other. */
const relay: Experiment = {
  name: 'relay',
  async run({ seeds }) {
    const table = new ResultTable();
    for (const seed of seeds) {
      const group = await startDaemonAndStandIns({ slots: 1_000, baseGapMs: 10, loadSlowdown: 0 });
      try {
        await measure(table, 'limelead', createLimelead(group), seed);
        await withBareRelay(group, (bare) => measure(table, 'bare relay', bare, seed));
      } finally {
        await group.stop();
      }
    }
    return {
      name: 'relay',
      question:
        'What does a token and a request cost in the daemon, against a relay that does nothing else?',
      setting: `one process each for engine, relay and callers; ${STREAMS} streams of up to ${TOKENS} tokens at 10 ms, then ${SHORT_REQUESTS} requests of one token`,
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
  relayed: Relay,
  seed: number,
): Promise<void> {
  // A first round lets the code be compiled in both.
  await readMany(relayed, `warm-${name}-${seed}`, 100, 50, 100);
  const startedAt = performance.now();
  const beforeTokens = await relayed.cpuMs();
  const tokens = await readMany(relayed, `long-${name}-${seed}`, STREAMS, TOKENS, STREAMS);
  const seconds = (performance.now() - startedAt) / 1_000;
  const tokenMs = (await relayed.cpuMs()) - beforeTokens;
  const residentMb = await relayed.residentMb();
  const beforeShort = await relayed.cpuMs();
  await readMany(relayed, `short-${name}-${seed}`, SHORT_REQUESTS, 1, SHORT_CONCURRENCY);
  const shortMs = (await relayed.cpuMs()) - beforeShort;
  table.add(name, {
    'tokens/s': tokens / seconds,
    'ms per 1,000 tokens': (tokenMs / tokens) * 1_000,
    'tokens/s on one core': (tokens / tokenMs) * 1_000,
    'ms per request': shortMs / SHORT_REQUESTS,
    'resident MB': residentMb,
  });
}

async function readMany(
  relayed: Relay,
  idPrefix: string,
  count: number,
  maxTokens: number,
  concurrency: number,
): Promise<number> {
  let next = 0;
  let tokens = 0;
  const work = async (): Promise<void> => {
    while (next < count) {
      next += 1;
      // `tokens += await …` would lose what others added in the meantime.
      const own = await relayed.read(`${idPrefix}-${next}`.replaceAll(' ', '-'), maxTokens);
      tokens += own;
    }
  };
  await Promise.all(Array.from({ length: concurrency }, work));
  return tokens;
}

function createLimelead(group: DaemonProcesses): Relay {
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
  run: (bare: Relay) => Promise<void>,
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
    await run(createBare(origin, agent));
  } finally {
    await agent.destroy();
    await killProcess(child);
  }
}

function createBare(origin: string, agent: Agent): Relay {
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
