/** Baseline for the daemon's cost: a relay of fastify and undici without further logic. */
import fastify from 'fastify';
import type { AddressInfo } from 'node:net';
import { Agent } from 'undici';

/** Forwards `POST /` to the engine whose base URL is the first argument. */
export default async function runBareRelay(argv: string[]): Promise<void> {
  const engineUrl = argv[2] ?? '';
  const agent = new Agent({ pipelining: 1, bodyTimeout: 0, headersTimeout: 0 });
  const server = fastify();
  server.post('/', async (request, reply) => {
    const response = await agent.request({
      origin: engineUrl,
      path: '/v1/generations',
      method: 'POST',
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify(request.body),
    });
    return reply.type('application/x-ndjson').send(response.body);
  });
  server.get('/cpu', async () => {
    const { user, system } = process.cpuUsage();
    return { milliseconds: (user + system) / 1_000, residentBytes: process.memoryUsage.rss() };
  });
  await server.listen({ host: '127.0.0.1', port: 0 });
  const { port } = server.server.address() as AddressInfo;
  process.stdout.write(`${port}\n`);
}
