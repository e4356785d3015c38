/**
 * Stand-in for a plain worker, by PROTOCOL.md, that answers calls and long documents. One that
 * garbles spoils documents: a wrong digit in the status line, and the answer broken off.
 */
import { createServer } from 'node:net';

const WORK_MS = 61;
const PART = Buffer.alloc(8_192, 'x');
/** The last bytes of an answer are written more slowly than the first. */
const SLOW_BYTES = 400_000;
const BREAK_AFTER_MS = 150;

const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

export default class DocumentWorker {
  answers = 0;
  spoiled = 0;
  #server;

  /** @param nextBreak gives the byte at which the next document is broken off; 0 for a whole one */
  constructor({ id, host, documentBytes, nextBreak, onRun }) {
    Object.assign(this, { id, host, documentBytes, nextBreak, onRun });
  }

  async start() {
    this.#server = createServer((socket) => this.#serve(socket));
    await new Promise((resolve) => this.#server.listen({ host: this.host, port: 0 }, resolve));
    this.address = `${this.host}:${this.#server.address().port}`;
  }

  stop() {
    this.#server.close();
  }

  createEntry(service, zone) {
    const state = { state: 'ready', coldRemainingMs: 0, sequence: 1 };
    return { service, address: this.address, zone, version: 'v1', slots: 64, ...state };
  }

  #serve(socket) {
    let text = '';
    socket.setNoDelay(true);
    socket.on('error', () => undefined);
    socket.on('data', (chunk) => {
      text += chunk.toString('latin1');
      const end = text.indexOf('\r\n\r\n');
      const length = Number(/content-length: (\d+)/i.exec(text)?.[1] ?? 0);
      if (end >= 0 && text.length >= end + 4 + length) {
        const head = text.slice(0, end);
        text = text.slice(end + 4 + length);
        void this.#answer(socket, head);
      }
    });
  }

  async #answer(socket, head) {
    const id = /request-id: (.*)/i.exec(head)?.[1].trim();
    if (id === undefined) {
      const body = '{"waiting":0,"runs":[]}';
      socket.write(`HTTP/1.1 200 OK\r\nContent-Length: ${body.length}\r\n\r\n${body}`);
      return;
    }
    this.answers += 1;
    this.onRun(id, this);
    const common = `Request-Id: ${id}\r\nServer-Stamp: stamp.${this.id}.${id}`;
    if (!head.includes('/page/')) {
      await sleep(WORK_MS);
      socket.write(`HTTP/1.1 200 OK\r\n${common}\r\nContent-Length: 2\r\n\r\nok`);
      return;
    }
    const breakAt = this.nextBreak(this);
    this.spoiled += breakAt > 0 ? 1 : 0;
    const version = breakAt > 0 ? '1.0' : '1.1';
    socket.write(`HTTP/${version} 200 OK\r\n${common}\r\nTransfer-Encoding: chunked\r\n\r\n`);
    await this.#writeParts(socket, breakAt || this.documentBytes);
    if (breakAt > 0) {
      await sleep(BREAK_AFTER_MS);
      socket.resetAndDestroy();
    } else {
      socket.write('0\r\n\r\n');
    }
  }

  async #writeParts(socket, bytes) {
    for (let sent = 0; sent < bytes && !socket.destroyed; sent += PART.length) {
      const part = PART.subarray(0, Math.min(PART.length, bytes - sent));
      socket.write(`${part.length.toString(16)}\r\n`);
      socket.write(part);
      socket.write('\r\n');
      if (sent > bytes - SLOW_BYTES) {
        await sleep(2);
      } else if (sent % (PART.length * 32) === 0) {
        await sleep(1);
      }
    }
  }
}
