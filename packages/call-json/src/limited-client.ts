/** HTTP client that closes its connection at an answer beyond a limit. */
import { AnswerExcessError, AnswerMeter, createConnector } from '@limelead/target-connections';
import { Client, type Dispatcher } from 'undici';

type Handler = Dispatcher.DispatchHandler;

/** Sends one request at a time. An answer beyond a limit fails with an `AnswerExcessError`. */
export default class LimitedClient extends Client {
  private readonly meter: AnswerMeter;

  /** @param maxBodyBytes limit on the body of an answer; those on its other parts are fixed */
  constructor(
    origin: string,
    connectTimeoutMs: number,
    maxBodyBytes: number,
    options: Client.Options,
  ) {
    const meter = new AnswerMeter(maxBodyBytes);
    const findError = (): Error | undefined => {
      const excess = meter.findExcess();
      return excess && new AnswerExcessError(excess);
    };
    const taken = { addTaken: (bytes: number) => meter.addTaken(bytes), findError };
    super(origin, {
      ...options,
      pipelining: 1,
      connect: createConnector(connectTimeoutMs, { taken }),
    });
    this.meter = meter;
  }

  override dispatch(options: Dispatcher.DispatchOptions, handler: Handler): boolean {
    return super.dispatch(options, meterAnswer(handler, this.meter));
  }
}

/** Counts an answer before its handler gets it. The handlers of the library have these methods. */
function meterAnswer(handler: Handler, meter: AnswerMeter): Handler {
  return {
    onConnect(...parts) {
      meter.begin();
      handler.onConnect?.(...parts);
    },
    onHeaders(status, ...parts) {
      meter.addHead(status);
      return handler.onHeaders?.(status, ...parts) ?? true;
    },
    onData(chunk) {
      meter.addBody(chunk.length);
      return handler.onData?.(chunk) ?? true;
    },
    onComplete: (...parts) => handler.onComplete?.(...parts),
    onError: (error) => handler.onError?.(error),
  };
}
