/** An HTTP server that can die, come back on the same port, pause, and lose its links. */
import fastify, { type FastifyInstance } from 'fastify';
import type { AddressInfo } from 'node:net';

const MAX_BODY_BYTES = 16 * 1024 * 1024;

/** A server with switches for its faults. */
export default class FaultyServer {
  private server: FastifyInstance | undefined;
  private paused: Promise<void> | undefined;
  private endPause: () => void = () => undefined;
  private fixedPort = 0;

  /** @param register adds the routes; called again each time the server comes back */
  constructor(private readonly register: (server: FastifyInstance) => void) {}

  get port(): number {
    return this.fixedPort;
  }

  get isPaused(): boolean {
    return this.paused !== undefined;
  }

  /** Listens on loopback; on the same port as before where it listened before. */
  async listen(): Promise<void> {
    const server = fastify({ forceCloseConnections: true, bodyLimit: MAX_BODY_BYTES });
    server.addHook('onRequest', async () => {
      await this.paused;
    });
    this.register(server);
    await server.listen({ host: '127.0.0.1', port: this.fixedPort });
    this.fixedPort = (server.server.address() as AddressInfo).port;
    this.server = server;
  }

  /** Ends all links at once and refuses new ones. */
  async crash(): Promise<void> {
    const { server } = this;
    this.server = undefined;
    this.resume();
    // Closing first ends the listening, so that no link is made in between.
    const closed = server?.close();
    server?.server.closeAllConnections();
    await closed;
  }

  /** Keeps links open but does nothing. */
  pause(): void {
    this.paused ??= new Promise((resolve) => (this.endPause = resolve));
  }

  /** Goes on as if nothing had happened. */
  resume(): void {
    this.paused = undefined;
    this.endPause();
  }

  /** Ends all present links; new ones are accepted. */
  closeConnections(): void {
    this.server?.server.closeAllConnections();
  }
}
