/** Finds a port of loopback for a process that has to be told one. */
import { createServer, type AddressInfo } from 'node:net';

/** Resolves with a port that was free a moment ago. */
export default async function findFreePort(): Promise<number> {
  const server = createServer();
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const { port } = server.address() as AddressInfo;
  await new Promise((resolve) => server.close(resolve));
  return port;
}
