/** A TCP connection whose end the HTTP library can meet at any time, also while it does not read. */
import { Socket } from 'node:net';

/**
 * The library takes the end or reset of a connection for the end of an answer that has no other
 * end. If it does not read at that time, an assertion fails in an event of the socket.
 */
export default class HttpSocket extends Socket {
  private hasReceivedEnd = false;

  override push(chunk: unknown, encoding?: BufferEncoding): boolean {
    this.hasReceivedEnd ||= chunk === null;
    return super.push(chunk, encoding);
  }

  /**
   * Reads as a `Socket` does, but a read of no bytes, with which the runtime follows an end, does
   * not emit `end`: that is left to whoever reads on.
   */
  override read(size?: number): unknown {
    return size === 0 && this.hasReceivedEnd ? null : super.read(size);
  }

  /** Destroys the socket. A reset gets an error of its own, without the code `ECONNRESET`. */
  override _destroy(
    error: NodeJS.ErrnoException | null,
    callback: (error?: Error | null) => void,
  ): void {
    const isReset = error?.code === 'ECONNRESET';
    super._destroy(isReset ? new Error('connection reset', { cause: error }) : error, callback);
  }
}
