/**
 * Stand-in for the platform's metadata store, by PROTOCOL.md: items with revisions, pages, watches,
 * transactions and leases. Linearizable, never down, and as fast as the sheets say.
 */
import { createServer } from 'node:http';

const ANSWER_MS = 4;
const PAGE_ITEMS = 500;

const encode = (value) => Buffer.from(JSON.stringify(value)).toString('base64');
const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

async function readJson(request) {
  let text = '';
  for await (const chunk of request) {
    text += chunk;
  }
  return text === '' ? {} : JSON.parse(text);
}

function reply(response, status, body = {}) {
  response.writeHead(status, { 'Content-Type': 'application/json' }).end(JSON.stringify(body));
}

/** The store. */
export default class Store {
  #items = new Map();
  #events = [];
  #revision = 100;
  #leases = new Map();
  #lastLease = 1_000;
  #waiting = new Set();
  #server;

  /** Starts a store at an address of the loopback range. */
  static async start(host, port) {
    const store = new Store();
    store.#server = createServer((request, response) => {
      store.#answer(request, response).catch(() => response.destroy());
    });
    await new Promise((resolve, reject) => {
      store.#server.once('error', reject);
      store.#server.listen({ host, port }, resolve);
    });
    store.address = `${host}:${port}`;
    return store;
  }

  stop() {
    this.#server.closeAllConnections();
    this.#server.close();
  }

  /** Writes an item as the operator or a worker does; returns its revision. */
  put(key, value) {
    return this.#put(key, encode(value), 0);
  }

  remove(key) {
    if (this.#items.delete(key)) {
      this.#revision += 1;
      this.#record({ privateKey: key, revision: this.#revision, gone: true });
    }
  }

  #put(key, value, lease) {
    this.#revision += 1;
    const made = this.#items.get(key)?.made ?? this.#revision;
    const item = { privateKey: key, value, revision: this.#revision, made, lease };
    this.#items.set(key, item);
    this.#record(item);
    return this.#revision;
  }

  #record(event) {
    this.#events.push(event);
    [...this.#waiting].forEach((wake) => wake());
  }

  async #answer(request, response) {
    const url = new URL(request.url, 'http://store');
    const [, call, id] = url.pathname.split('/');
    const query = url.searchParams;
    const body = request.method === 'POST' ? await readJson(request) : {};
    await sleep(ANSWER_MS);
    switch (`${request.method} ${call}`) {
      case 'GET kv-key': {
        const item = this.#items.get(query.get('privateKey'));
        return reply(response, item === undefined ? 404 : 200, { ...item, at: this.#revision });
      }
      case 'GET kv-range':
        return reply(response, 200, this.#range(query));
      case 'GET kv-watch':
        return this.#watch(query, response);
      case 'POST kv-txn':
        return this.#transact(body, response);
      case 'POST kv-lease':
        return reply(response, 200, this.#grant(body.ttl_ms));
      case 'POST kv-keep':
        return this.#keep(Number(id), response);
      case 'DELETE kv-lease-end':
        this.#endLease(Number(id));
        return reply(response, 200);
      default:
        return reply(response, 404);
    }
  }

  #range(query) {
    const prefix = query.get('pathPrefix') ?? '';
    const after = query.get('sinceRevision') ?? '';
    const all = [...this.#items.values()]
      .filter(({ privateKey }) => privateKey.startsWith(prefix) && privateKey > after)
      .sort((a, b) => (a.privateKey < b.privateKey ? -1 : 1));
    return {
      items: all.slice(0, PAGE_ITEMS),
      more: all.length > PAGE_ITEMS,
      at: this.#revision,
    };
  }

  async #watch(query, response) {
    const prefix = query.get('pathPrefix') ?? '';
    const since = Number(query.get('sinceRevision'));
    const endsAt = performance.now() + Number(query.get('waitMs') ?? 0);
    for (;;) {
      const events = this.#events.filter(
        ({ privateKey, revision }) => revision > since && privateKey.startsWith(prefix),
      );
      const leftMs = endsAt - performance.now();
      if (events.length > 0 || leftMs <= 0 || response.closed) {
        return reply(response, 200, { events, at: this.#revision });
      }
      await new Promise((resolve) => {
        const wake = () => {
          clearTimeout(timer);
          this.#waiting.delete(wake);
          resolve();
        };
        const timer = setTimeout(wake, leftMs);
        this.#waiting.add(wake);
      });
    }
  }

  #transact({ expectedRevision = [], put = [], remove = [] }, response) {
    const holds = ({ privateKey, revision }) =>
      (this.#items.get(privateKey)?.revision ?? 0) === revision;
    if (!expectedRevision.every(holds)) {
      const items = expectedRevision.flatMap(({ privateKey }) => this.#items.get(privateKey) ?? []);
      return reply(response, 412, { items });
    }
    if (put.some(({ lease = 0 }) => lease !== 0 && !this.#leases.has(lease))) {
      return reply(response, 404);
    }
    for (const { privateKey, value, lease = 0 } of put) {
      this.#put(privateKey, value, lease);
      this.#leases.get(lease)?.keys.add(privateKey);
    }
    remove.forEach((key) => this.remove(key));
    return reply(response, 200, { revision: this.#revision });
  }

  #grant(ttlMs) {
    this.#lastLease += 1;
    const lease = this.#lastLease;
    this.#leases.set(lease, { keys: new Set(), ttlMs, timer: undefined });
    this.#renew(lease);
    return { lease, ttl_ms: ttlMs };
  }

  #renew(lease) {
    const held = this.#leases.get(lease);
    clearTimeout(held.timer);
    held.timer = setTimeout(() => this.#endLease(lease), held.ttlMs);
    held.timer.unref();
  }

  #keep(lease, response) {
    if (!this.#leases.has(lease)) {
      return reply(response, 404);
    }
    this.#renew(lease);
    return reply(response, 200, { ttl_ms: this.#leases.get(lease).ttlMs });
  }

  #endLease(lease) {
    const held = this.#leases.get(lease);
    this.#leases.delete(lease);
    clearTimeout(held?.timer);
    held?.keys.forEach((key) => this.remove(key));
  }
}
