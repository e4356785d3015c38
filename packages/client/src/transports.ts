/** Transports to the VMs, over undici's fetch, which never sends a request twice. */
import type { Transport } from '@connectrpc/connect';
import { createConnectTransport } from '@connectrpc/connect-web';
import { Agent, fetch } from 'undici';

const CONNECT_TIMEOUT_MS = 1_000;

/** Transports to all VMs that a client knows; it moves on to the next when one is lost. */
export default class Transports {
  private readonly agent = new Agent({
    pipelining: 1,
    connect: { timeout: CONNECT_TIMEOUT_MS },
    bodyTimeout: 0,
    headersTimeout: 0,
  });
  private readonly transports: Transport[];
  private current: number;

  /** @param urls base URLs of VMs, or the one of the balancer */
  constructor(urls: readonly string[], first: number) {
    this.transports = urls.map((url) => this.create(url));
    this.current = first % Math.max(1, urls.length);
  }

  /** The transport in use. */
  get(): Transport {
    const transport = this.transports[this.current];
    if (transport === undefined) {
      throw new Error('a client needs the URL of at least one VM');
    }
    return transport;
  }

  /** Moves on to the next VM. */
  moveOn(): void {
    this.current = (this.current + 1) % this.transports.length;
  }

  close(): Promise<void> {
    return this.agent.destroy();
  }

  private create(baseUrl: string): Transport {
    const fetchOverAgent: typeof globalThis.fetch = (input, init) =>
      // Both have the same shape; the types come from two copies of undici.
      fetch(input as never, { ...init, dispatcher: this.agent } as never);
    return createConnectTransport({ baseUrl, useBinaryFormat: true, fetch: fetchOverAgent });
  }
}
