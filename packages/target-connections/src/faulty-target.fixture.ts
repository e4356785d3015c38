/** A target that answers by plans, over plain TCP. */
import { createServer, type AddressInfo, type Server, type Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import type { AnswerPlan, EndlessBytes, Ending } from './random-answer.fixture.js';

/** What a faulty target does. */
export interface TargetPlan {
  /** How each connection begins; `keep` accepts it. */
  beginnings: Ending[];
  /** An answer for each request. */
  answers: AnswerPlan[];
}

/** Bytes of a write of those that never end. */
const ENDLESS_WRITE_BYTES = 16_384;
const REQUEST_START = /^(GET|POST|HEAD) /;

/** Target for a few requests; connections and requests beyond its plan are closed. */
export default class FaultyTarget {
  private readonly sockets = new Set<Socket>();
  /** Bytes that were sent without end, by the connection with the most of them. */
  mostEndlessBytes = 0;
  private connections = 0;
  private requests = 0;

  private constructor(
    private readonly server: Server,
    private readonly plan: TargetPlan,
    private readonly onEnding: (ending: Ending, isNew: boolean) => void,
  ) {
    server.on('connection', (socket: Socket) => this.onConnection(socket));
  }

  /** @param onEnding called just before the target ends a connection, a new one or a used one */
  static async start(
    plan: TargetPlan,
    onEnding: (ending: Ending, isNew: boolean) => void,
  ): Promise<FaultyTarget> {
    const server = createServer({ allowHalfOpen: true });
    const target = new FaultyTarget(server, plan, onEnding);
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
    return target;
  }

  get port(): number {
    return (this.server.address() as AddressInfo).port;
  }

  stop(): Promise<void> {
    this.sockets.forEach((socket) => socket.destroy());
    return new Promise((resolve) => this.server.close(() => resolve()));
  }

  private onConnection(socket: Socket): void {
    this.sockets.add(socket);
    socket.on('error', () => undefined);
    this.end(socket, this.plan.beginnings[this.connections++] ?? 'close', true);
    socket.on('data', (data) => {
      if (REQUEST_START.test(data.toString('latin1'))) {
        void this.answer(socket, this.plan.answers[this.requests++]);
      }
    });
  }

  private async answer(socket: Socket, plan: AnswerPlan | undefined): Promise<void> {
    if (plan?.isDeaf === true) {
      socket.pause();
    }
    for (const { text, delayMs } of plan?.pieces ?? []) {
      if (delayMs > 0) {
        await sleep(delayMs);
      }
      if (socket.writable) {
        socket.write(Buffer.from(text, 'latin1'));
      }
    }
    if (plan?.endless !== undefined) {
      this.sendEndlessly(socket, plan.endless);
      return;
    }
    await sleep(plan?.endDelayMs ?? 0);
    this.end(socket, plan?.ending ?? 'close');
  }

  private sendEndlessly(socket: Socket, { text, intervalMs }: EndlessBytes): void {
    if (socket.destroyed) {
      return;
    }
    const isDrip = intervalMs > 0;
    const bytes = Buffer.from(
      text.repeat(isDrip ? 1 : Math.ceil(ENDLESS_WRITE_BYTES / text.length)),
    );
    let sentBytes = 0;
    let at = 0;
    const write = (): boolean => {
      const part = isDrip ? bytes.subarray(at, at + 1) : bytes;
      at = (at + 1) % bytes.length;
      sentBytes += part.length;
      this.mostEndlessBytes = Math.max(this.mostEndlessBytes, sentBytes);
      return socket.writable && socket.write(part);
    };
    const writeMore = (): void => {
      while (!socket.destroyed && write());
    };
    if (isDrip) {
      const timer = setInterval(write, intervalMs);
      socket.on('close', () => clearInterval(timer));
    } else {
      socket.on('drain', () => setImmediate(writeMore));
      writeMore();
    }
  }

  private end(socket: Socket, ending: Ending, isNew = false): void {
    if (ending === 'keep' || socket.destroyed) {
      return;
    }
    this.onEnding(ending, isNew);
    if (ending === 'reset') {
      socket.resetAndDestroy();
    } else if (ending === 'close') {
      socket.destroySoon();
    } else {
      socket.end();
    }
  }
}
