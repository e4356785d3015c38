/** An HTTP server that can crash, restart on the same port, pause and close its connections. */
import fastify, { type FastifyInstance } from 'fastify';
import type { AddressInfo } from 'node:net';

const MAX_BODY_BYTES = 16 * 1024 * 1024;

/** HTTP server with switches for its faults. */
export default class FaultyServer {
  private server: FastifyInstance | undefined;
  private pauseEnded: Promise<void> | undefined;
  private endPause: () => void = () => undefined;
  private assignedPort = 0;

  /** @param register adds the routes; called each time the server starts */
  constructor(private readonly register: (server: FastifyInstance) => void) {}

  get port(): number {
    return this.assignedPort;
  }

  get isPaused(): boolean {
    return this.pauseEnded !== undefined;
  }

  /** Listens on loopback; a restart uses the same port. */
  async listen(): Promise<void> {
    const server = fastify({ forceCloseConnections: true, bodyLimit: MAX_BODY_BYTES });
    server.addHook('onRequest', async () => {
      await this.pauseEnded;
    });
    this.register(server);
    await server.listen({ host: '127.0.0.1', port: this.assignedPort });
    this.assignedPort = (server.server.address() as AddressInfo).port;
    this.server = server;
  }

  /** Closes all connections at once and refuses new ones. */
  async crash(): Promise<void> {
    const { server } = this;
    this.server = undefined;
    this.resume();
    // Stops listening first, so that no new connection is accepted meanwhile.
    const closed = server?.close();
    server?.server.closeAllConnections();
    await closed;
  }

  /** Keeps connections open but answers nothing. */
  pause(): void {
    this.pauseEnded ??= new Promise((resolve) => (this.endPause = resolve));
  }

  /** Ends a pause; waiting requests continue. */
  resume(): void {
    this.pauseEnded = undefined;
    this.endPause();
  }

  /** Closes all open connections; accepts new ones. */
  closeConnections(): void {
    this.server?.server.closeAllConnections();
  }
}
