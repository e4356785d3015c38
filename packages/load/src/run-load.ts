/** Sends planned arrivals at their times, whether or not earlier ones were answered. */
import { createClient, readErrorDetail, type Client } from '@limelead/client';
import { delay, type Timers } from '@limelead/types';
import type { Arrival } from './plan-arrivals.js';
import summarize, { type LoadOutcome, type LoadSummary } from './summary.js';

/** Where the load goes. */
export interface LoadOptions {
  /** Base URLs of VMs; arrivals begin at one after the other. */
  urls: string[];
  timers: Timers;
  /** Tries of one request; 1 shows every refusal. */
  maxTries: number;
}

/** Runs a load; resolves with its figures once every request has ended. */
export default async function runLoad(
  arrivals: readonly Arrival[],
  options: LoadOptions,
): Promise<LoadSummary> {
  const startedAt = performance.now();
  const clients = new ClientPool(options);
  try {
    const outcomes = await Promise.all(
      arrivals.map(async (arrival, index) => {
        await delay(options.timers, Math.max(0, arrival.atMs - (performance.now() - startedAt)));
        const client = clients.get(arrival.kind.key, index);
        return send(client, arrival, startedAt + arrival.atMs);
      }),
    );
    return summarize(outcomes, performance.now() - startedAt);
  } finally {
    await clients.close();
  }
}

async function send(client: Client, arrival: Arrival, intendedAt: number): Promise<LoadOutcome> {
  const outcome: LoadOutcome = {
    kind: arrival.kind.name,
    totalMs: 0,
    gapsMs: [],
    resumeLatenciesMs: [],
    tokens: 0,
    missedDeadline: false,
  };
  try {
    await (arrival.kind.call === undefined
      ? readAnswer(client, arrival, intendedAt, outcome)
      : makeCall(client, arrival));
  } catch (thrown) {
    outcome.error = readErrorDetail(thrown).kind ?? 'link';
  }
  outcome.totalMs = performance.now() - intendedAt;
  const { deadlineMs = 0 } = arrival.kind;
  outcome.missedDeadline = deadlineMs > 0 && outcome.totalMs > deadlineMs;
  return outcome;
}

async function readAnswer(
  client: Client,
  { requestId, kind, prompt, maxTokens }: Arrival,
  intendedAt: number,
  outcome: LoadOutcome,
): Promise<void> {
  const { service, priority = '', deadlineMs = 0, pace = 0 } = kind;
  let lastTokenAt: number | undefined;
  let hasMoved = false;
  const request = { requestId, service, prompt, maxTokens, priority, deadlineMs };
  for await (const event of client.generate({ ...request, paceTokensPerSecond: pace })) {
    const now = performance.now();
    if (event.kind === 'tokens') {
      if (lastTokenAt === undefined) {
        outcome.firstTokenMs = now - intendedAt;
      } else {
        const gaps = hasMoved ? outcome.resumeLatenciesMs : outcome.gapsMs;
        gaps.push(now - lastTokenAt);
      }
      lastTokenAt = now;
      hasMoved = false;
      outcome.tokens += event.tokens.length;
    } else {
      hasMoved = true;
    }
  }
}

async function makeCall(client: Client, { requestId, kind }: Arrival): Promise<void> {
  const { operation = '', repeatable = true } = kind.call ?? {};
  await client.call({ requestId, service: kind.service, operation, repeatable });
}

/** One client for each key and VM, so that connections are used again. */
class ClientPool {
  private readonly clients = new Map<string, Client>();

  constructor(private readonly options: LoadOptions) {}

  get(key: string, index: number): Client {
    const { urls, timers, maxTries } = this.options;
    const first = index % urls.length;
    const name = `${key} ${first}`;
    const client =
      this.clients.get(name) ??
      createClient({ urls: rotate(urls, first), key, timers, maxAttempts: maxTries });
    this.clients.set(name, client);
    return client;
  }

  async close(): Promise<void> {
    await Promise.all([...this.clients.values()].map((client) => client.close()));
  }
}

function rotate(urls: readonly string[], first: number): string[] {
  return [...urls.slice(first), ...urls.slice(0, first)];
}
