/** Sends arrivals at their scheduled times without waiting for earlier answers (open loop). */
import { createClient, readErrorDetail, type Client } from '@limelead/client';
import { delay, type Timers } from '@limelead/types';
import type { Arrival } from './plan-arrivals.js';
import summarize, { type LoadOutcome, type LoadSummary } from './summary.js';

/** Where and how a load is sent. */
export interface LoadOptions {
  /** Base URLs of VMs; arrivals start at them in turn. */
  urls: string[];
  timers: Timers;
  /** Attempts of one request; 1 reports every refusal as an error. */
  maxTries: number;
}

/** Sends all arrivals; resolves with a summary when every request has ended. */
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

async function send(client: Client, arrival: Arrival, scheduledAt: number): Promise<LoadOutcome> {
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
      ? readAnswer(client, arrival, scheduledAt, outcome)
      : makeCall(client, arrival));
  } catch (thrown) {
    outcome.error = readErrorDetail(thrown).kind ?? 'link';
  }
  outcome.totalMs = performance.now() - scheduledAt;
  const { deadlineMs = 0 } = arrival.kind;
  outcome.missedDeadline = deadlineMs > 0 && outcome.totalMs > deadlineMs;
  return outcome;
}

async function readAnswer(
  client: Client,
  { requestId, kind, prompt, maxTokens }: Arrival,
  scheduledAt: number,
  outcome: LoadOutcome,
): Promise<void> {
  const { service, priority = '', deadlineMs = 0, pace = 0 } = kind;
  let lastTokenAt: number | undefined;
  let hasResumed = false;
  const request = { requestId, service, prompt, maxTokens, priority, deadlineMs };
  for await (const event of client.generate({ ...request, paceTokensPerSecond: pace })) {
    const now = performance.now();
    if (event.kind === 'tokens') {
      if (lastTokenAt === undefined) {
        outcome.firstTokenMs = now - scheduledAt;
      } else {
        const gaps = hasResumed ? outcome.resumeLatenciesMs : outcome.gapsMs;
        gaps.push(now - lastTokenAt);
      }
      lastTokenAt = now;
      hasResumed = false;
      outcome.tokens += event.tokens.length;
    } else {
      hasResumed = true;
    }
  }
}

async function makeCall(client: Client, { requestId, kind }: Arrival): Promise<void> {
  const { operation = '', repeatable = true } = kind.call ?? {};
  await client.call({ requestId, service: kind.service, operation, repeatable });
}

/** Keeps one client for each API key and first VM, so that connections are reused. */
class ClientPool {
  private readonly clients = new Map<string, Client>();

  constructor(private readonly options: LoadOptions) {}

  get(key: string, index: number): Client {
    const { urls, timers, maxTries } = this.options;
    const firstUrl = index % urls.length;
    const name = `${key} ${firstUrl}`;
    const client =
      this.clients.get(name) ??
      createClient({ urls: rotate(urls, firstUrl), key, timers, maxAttempts: maxTries });
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
