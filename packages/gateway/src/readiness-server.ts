/** HTTP servers for the readiness probe and for metrics. */
import { answerMisdirected } from '@limelead/peer-links';
import type { Address } from '@limelead/types';
import { createServer, type IncomingMessage, type Server } from 'node:http';

const OK = 200;
const NOT_READY = 503;

/** Called with each request whose path this server does not serve. */
export type OnMisdirected = (message: IncomingMessage) => void;

/** Answers `path` with 200 while the VM is ready, otherwise with 503. */
export function startReadinessServer(
  address: Address,
  path: string,
  isReady: () => boolean,
  onMisdirected: OnMisdirected,
): Promise<Server> {
  const answer = (): Answer => ({ status: isReady() ? OK : NOT_READY, body: '' });
  return start(address, path, answer, onMisdirected);
}

/** Answers `path` with the metrics as text. */
export function startMetricsServer(
  address: Address,
  path: string,
  render: () => string,
  onMisdirected: OnMisdirected,
): Promise<Server> {
  return start(address, path, () => ({ status: OK, body: render() }), onMisdirected);
}

interface Answer {
  status: number;
  body: string;
}

function start(
  { host, port }: Address,
  path: string,
  answer: () => Answer,
  onMisdirected: OnMisdirected,
): Promise<Server> {
  const server = createServer((request, response) => {
    if (request.url !== path) {
      onMisdirected(request);
      answerMisdirected(request, response);
      return;
    }
    request.resume();
    const { status, body } = answer();
    response.writeHead(status, { 'Content-Type': 'text/plain; version=0.0.4' }).end(body);
  });
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen({ host, port }, () => resolve(server));
  });
}
