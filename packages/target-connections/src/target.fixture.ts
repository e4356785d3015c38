/** A target that answers over plain TCP, and calls to it. */
import type { PortFault } from '@limelead/errors';
import { steadyClock, systemTimers, type ServiceTarget } from '@limelead/types';
import { createServer, type AddressInfo, type Server, type Socket } from 'node:net';
import { TargetConnections, type AnswerHead, type OpenCall } from './index.js';

/** Events of a call up to its last one. */
export interface Outcome {
  head?: AnswerHead;
  body: string;
  fault?: PortFault;
}

/** Starts a TCP server as target; `answer` is called for each request, with its number. */
export async function startTarget(answer: (socket: Socket, request: number) => void) {
  let requests = 0;
  const sockets: Socket[] = [];
  const server: Server = createServer((socket) => {
    sockets.push(socket);
    socket.on('error', () => undefined);
    socket.on('data', () => answer(socket, ++requests));
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const target: ServiceTarget = {
    id: 't1',
    service: 'briefs',
    host: '127.0.0.1',
    port: (server.address() as AddressInfo).port,
    failureDomain: 'north',
    slots: 4,
    leaving: false,
  };
  return {
    target,
    sockets,
    requests: () => requests,
    stop: () => {
      sockets.forEach((socket) => socket.destroy());
      return new Promise<void>((resolve) => server.close(() => resolve()));
    },
  };
}

export function createConnections(clock = steadyClock, timers = systemTimers): TargetConnections {
  return new TargetConnections({ clock, timers, connectTimeoutMs: 300, maxIdlePerTarget: 4 });
}

export function send(
  connections: TargetConnections,
  target: ServiceTarget,
  maxIdleMs = 1_000,
  onData: () => void = () => undefined,
): Promise<Outcome> {
  return new Promise((resolve) => {
    const outcome: Outcome = { body: '' };
    const call = { method: 'POST', path: '/a/1', headers: ['Host', 'x'], body: Buffer.from('in') };
    connections.send(
      target,
      call,
      { maxIdleMs },
      {
        onHead: (head) => (outcome.head = head),
        onData: (chunk) => {
          outcome.body += chunk.toString();
          onData();
        },
        onEnd: () => resolve(outcome),
        onFault: (fault) => resolve({ ...outcome, fault }),
      },
    );
  });
}

/**
 * Sends a call whose answer is paused at its head, at all data or at both. Resolves when it is paused.
 * @param onWritten called when the target has written the answer
 */
export async function openPaused(
  head: string,
  chunk: string,
  pauseAt: 'head' | 'data' | 'both' = 'head',
  onWritten: (socket: Socket) => void = () => undefined,
) {
  const target = await startTarget((socket) => {
    socket.write(`${head}\r\n\r\n${chunk}`);
    onWritten(socket);
  });
  const connections = createConnections();
  let onPaused = (): void => undefined;
  const received: string[] = [];
  const opened = new Promise<void>((resolve) => (onPaused = resolve));
  let isPaused = false;
  let ends = 0;
  let finish = (_: string): void => undefined;
  const pause = (): void => {
    isPaused = open.pause();
    onPaused();
  };
  const end = (how: string): void => {
    ends += 1;
    finish(how);
  };
  const finished = new Promise<string>((resolve) => (finish = resolve));
  const call = { method: 'POST', path: '/a/1', headers: ['Host', 'x'], body: Buffer.from('in') };
  const open: OpenCall = connections.send(
    target.target,
    call,
    { maxIdleMs: 0 },
    {
      onHead: () => pauseAt !== 'data' && pause(),
      onData: (data) => {
        received.push(data.toString());
        if (pauseAt !== 'head') {
          pause();
        }
      },
      onEnd: () => end('ended'),
      onFault: ({ reason }) => end(reason),
    },
  );
  await opened;
  return {
    target,
    connections,
    open,
    received,
    finished,
    isPaused: () => isPaused,
    ends: () => ends,
  };
}

/** Collects exceptions that no handler caught until `stop` is called. */
export function collectUncaught(): { exceptions: Error[]; stop: () => void } {
  const exceptions: Error[] = [];
  const collect = (error: Error): void => void exceptions.push(error);
  process.on('uncaughtException', collect);
  return { exceptions, stop: () => process.off('uncaughtException', collect) };
}
