/** Finds a free loopback port for a process that needs a fixed one. */
import { createServer, type AddressInfo } from 'node:net';

/** Resolves with a port that was free when checked; another process may take it. */
export default async function findFreePort(): Promise<number> {
  const server = createServer();
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const { port } = server.address() as AddressInfo;
  await new Promise((resolve) => server.close(resolve));
  return port;
}
