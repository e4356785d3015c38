/** Small HTTP servers beside the front door: whether this VM is ready, and its figures. */
import { answerMisdirected } from '@limelead/peer-links';
import type { Address } from '@limelead/types';
import { createServer, type IncomingMessage, type Server } from 'node:http';

const OK = 200;
const NOT_READY = 503;

/** Told of a request that came here and belongs elsewhere. */
export type OnMisdirected = (message: IncomingMessage) => void;

/** Answers `path` with 200 while the VM is ready, else with 503. */
export function startReadinessServer(
  address: Address,
  path: string,
  isReady: () => boolean,
  noteMisdirected: OnMisdirected,
): Promise<Server> {
  const answer = (): Answer => ({ status: isReady() ? OK : NOT_READY, body: '' });
  return start(address, path, answer, noteMisdirected);
}

/** Answers `path` with the page of figures. */
export function startMetricsServer(
  address: Address,
  path: string,
  render: () => string,
  noteMisdirected: OnMisdirected,
): Promise<Server> {
  return start(address, path, () => ({ status: OK, body: render() }), noteMisdirected);
}

interface Answer {
  status: number;
  body: string;
}

function start(
  { host, port }: Address,
  path: string,
  answer: () => Answer,
  noteMisdirected: OnMisdirected,
): Promise<Server> {
  const server = createServer((request, response) => {
    if (request.url !== path) {
      noteMisdirected(request);
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
