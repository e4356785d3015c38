/**
 * Stand-in for a model worker, by PROTOCOL.md: reads a prompt in pieces, makes the events of a
 * stream, answers `GET /report` and `GET /healthz` at once, and refuses other instances' requests.
 * Its figures are those of the sheets: 5 prompt tokens a ms, a step of 5.47 ms, 5 tokens an event.
 */
import { createServer } from 'node:http';

const TOKENS_PER_MS = 5;
const STEP_MS = 5.47;
const CHUNK_TOKENS = 125;
const TOKENS_PER_EVENT = 5;

const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

/** One worker. */
export default class Engine {
  runs = new Map();
  #server;

  /**
   * @param options.id incarnation
   * @param options.behaviour what differs from a plain run:
   *   slowness() factor on the time of each step; 1 as usual
   *   findPause(run) time for which the run is preempted before its next event; 0 for none
   *   dropsClosed whether a run ends when its connection closes
   * @param options.onEvent called with what the worker saw: 'arrived', 'began', 'closed', 'whole', 'dropped'
   */
  constructor({ id, service, zone, host, behaviour, onEvent }) {
    Object.assign(this, { id, service, zone, host, behaviour, onEvent });
  }

  async start() {
    this.#server = createServer((request, response) => this.#answer(request, response));
    await new Promise((resolve, reject) => {
      this.#server.once('error', reject);
      this.#server.listen({ host: this.host, port: 0 }, resolve);
    });
    this.address = `${this.host}:${this.#server.address().port}`;
  }

  stop() {
    this.#server.closeAllConnections();
    this.#server.close();
  }

  /** The worker's entry in the store. */
  createEntry() {
    const { service, address, zone } = this;
    const state = { state: 'ready', coldRemainingMs: 0, phase: 'both', sequence: 1 };
    return { service, address, zone, version: 'v1', slots: 64, ...state };
  }

  #answer(request, response) {
    let body = '';
    request.on('data', (chunk) => (body += chunk));
    request.on('end', () => {
      if (request.url === '/report') {
        return this.#report(response);
      }
      if (request.url === '/healthz') {
        return response.writeHead(200, { 'Instance-Id': this.id }).end();
      }
      const expected = request.headers['expected-instance'];
      if (expected !== undefined && expected !== this.id) {
        return response.writeHead(421, { 'Instance-Id': this.id, 'Not-Executed': '1' }).end();
      }
      return void this.#run(request, response, body);
    });
  }

  #report(response) {
    const runs = [...this.runs.values()].filter(({ hasBegun }) => hasBegun);
    const state = {
      ...{ phase: 'both', models: [{ name: 'm', version: 1, adapters: [] }], utilization: false },
      ...{ sequence: 1, waiting: 0, running: this.runs.size, handlers: 0 },
      kvUsed: runs.reduce((sum, { promptTokens }) => sum + promptTokens, 0),
      kvTotal: 55_000,
      runs: runs.map(({ id, promptTokens, made }) => [id, promptTokens + made * 5, made, 1]),
    };
    response.writeHead(200, { 'Content-Type': 'application/json' }).end(JSON.stringify(state));
  }

  /** Time of one step; a part of a prompt that is read beside it holds it up. */
  #stepMs(readsPrompt) {
    const readMs = readsPrompt ? CHUNK_TOKENS / TOKENS_PER_MS : 0;
    return (STEP_MS + readMs) * (this.behaviour.slowness?.() ?? 1);
  }

  async #run(request, response, body) {
    const { headers } = request;
    const [promptTokens, outTokens] = (headers['token-count'] ?? '1000,200').split(',').map(Number);
    const made = Number(headers['last-event-id'] ?? 0);
    const fromCopy = headers['kv-from'] !== undefined;
    const run = { id: headers['request-id'], promptTokens, made, hasBegun: false, body };
    this.runs.set(run.id, run);
    this.onEvent('arrived', this, run);
    let isClosed = false;
    response.on('close', () => {
      isClosed = !response.writableFinished;
      if (isClosed) {
        this.onEvent('closed', this, run);
      }
    });
    const mustEnd = () => isClosed && this.behaviour.dropsClosed !== false;
    const unread = fromCopy ? CHUNK_TOKENS : promptTokens + made * TOKENS_PER_EVENT;
    run.isReading = true;
    for (let read = 0; read < unread && !mustEnd(); read += CHUNK_TOKENS) {
      await sleep(this.#stepMs(true));
    }
    run.isReading = false;
    response.writeHead(200, {
      'Content-Type': 'text/event-stream',
      'Request-Id': run.id,
      'Server-Stamp': `stamp.${this.id}.${run.id}`,
    });
    const last = Math.round(outTokens / TOKENS_PER_EVENT);
    while (run.made < last && !mustEnd()) {
      await this.#makeEvent(run, response);
    }
    this.runs.delete(run.id);
    this.onEvent(mustEnd() ? 'dropped' : 'whole', this, run);
    response.end();
  }

  async #makeEvent(run, response) {
    const pauseMs = this.behaviour.findPause?.(run) ?? 0;
    if (pauseMs > 0) {
      await sleep(pauseMs);
    }
    const isHeldUp = [...this.runs.values()].some((other) => other.isReading && other !== run);
    await sleep(this.#stepMs(isHeldUp) * TOKENS_PER_EVENT);
    run.made += 1;
    if (!run.hasBegun) {
      run.hasBegun = true;
      this.onEvent('began', this, run);
    }
    response.write(`id: ${run.made}\ndata: ${run.id} piece ${run.made}\n\n`);
  }
}
