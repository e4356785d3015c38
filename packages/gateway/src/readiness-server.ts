/** Small HTTP servers beside the front door: whether this VM is ready, and its figures. */
import { createServer, type Server } from 'node:http';

const OK = 200;
const NOT_READY = 503;
const NOT_FOUND = 404;

/** An address to listen on. */
export interface ListenAddress {
  host: string;
  port: number;
}

/** Answers `path` with 200 while the VM is ready, else with 503. */
export function startReadinessServer(
  address: ListenAddress,
  path: string,
  isReady: () => boolean,
): Promise<Server> {
  return start(address, (url) =>
    url === path ? { status: isReady() ? OK : NOT_READY, body: '' } : undefined,
  );
}

/** Answers `path` with the page of figures. */
export function startMetricsServer(
  address: ListenAddress,
  path: string,
  render: () => string,
): Promise<Server> {
  return start(address, (url) => (url === path ? { status: OK, body: render() } : undefined));
}

function start(
  { host, port }: ListenAddress,
  answer: (url: string | undefined) => { status: number; body: string } | undefined,
): Promise<Server> {
  const server = createServer((request, response) => {
    request.resume();
    const { status, body } = answer(request.url) ?? { status: NOT_FOUND, body: '' };
    response.writeHead(status, { 'Content-Type': 'text/plain; version=0.0.4' }).end(body);
  });
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen({ host, port }, () => resolve(server));
  });
}
