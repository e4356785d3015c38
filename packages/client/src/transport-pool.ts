/** Transports to the VMs over undici's fetch, which does not retry requests. */
import type { Transport } from '@connectrpc/connect';
import { createConnectTransport } from '@connectrpc/connect-web';
import { Agent, fetch } from 'undici';

const CONNECT_TIMEOUT_MS = 1_000;

/** Transports to all VMs of a client, of which one is current. */
export default class TransportPool {
  private readonly agent = new Agent({
    pipelining: 1,
    connect: { timeout: CONNECT_TIMEOUT_MS },
    bodyTimeout: 0,
    headersTimeout: 0,
  });
  private readonly transports: Transport[];
  /** Index of the current transport. */
  private current: number;

  /**
   * @param urls base URLs of VMs, or only that of the load balancer
   * @param firstIndex index of the URL to use first
   */
  constructor(urls: readonly string[], firstIndex: number) {
    this.transports = urls.map((url) => this.create(url));
    this.current = firstIndex % Math.max(1, urls.length);
  }

  getCurrent(): Transport {
    const transport = this.transports[this.current];
    if (transport === undefined) {
      throw new Error('a client needs the URL of at least one VM');
    }
    return transport;
  }

  switchToNext(): void {
    this.current = (this.current + 1) % this.transports.length;
  }

  close(): Promise<void> {
    return this.agent.destroy();
  }

  private create(baseUrl: string): Transport {
    const fetchOverAgent: typeof globalThis.fetch = (input, init) =>
      // The casts bridge the types of two copies of undici, which have the same shape.
      fetch(input as never, { ...init, dispatcher: this.agent } as never);
    return createConnectTransport({ baseUrl, useBinaryFormat: true, fetch: fetchOverAgent });
  }
}
