/** Registry of the open calls of this VM, which can be stopped. */
import type { LimeleadError } from '@limelead/errors';

/** Holds open calls. */
export default class OpenCalls {
  private readonly stops = new Set<() => void>();

  /** Settles like the call, or rejects with the error once all calls are stopped. */
  async settle<Result>(call: Promise<Result>, createError: () => LimeleadError): Promise<Result> {
    let stop = (): void => undefined;
    const stopped = new Promise<never>((_, reject) => {
      stop = () => reject(createError());
    });
    this.stops.add(stop);
    try {
      return await Promise.race([call, stopped]);
    } finally {
      this.stops.delete(stop);
    }
  }

  /** Ends every call with its error. */
  stopAll(): void {
    this.stops.forEach((stop) => stop());
  }
}
