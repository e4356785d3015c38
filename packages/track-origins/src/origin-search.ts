/** One search for the version that began a stream: asks the store and peers. */
import type { Clock, Millis, OriginEvidence, StreamKey, Timers } from '@limelead/types';
import type { VersionRecordReader } from './version-record-reader.js';

/** Time in which the links to peers open after the start of a VM. */
const LINKING_MS: Millis = 1_000;
/** Time after which a VM without links asks its peers once more in that time. */
const ASK_AGAIN_MS: Millis = 80;

/** Dependencies of `OriginSearch`. */
export interface OriginSearchOptions {
  clock: Clock;
  timers: Timers;
  /** Versions that this VM may never have seen. */
  recorded: VersionRecordReader;
  /** Asks peers; `receive` is called once, with the answers that came in time. */
  ask(stream: StreamKey, receive: (answers: OriginEvidence[]) => void): () => void;
}

/** One search. */
export default class OriginSearch {
  private readonly beganAtMs: Millis;
  private readonly stops: (() => void)[] = [];

  /** @param vmStartedAtMs steady time of the start of this VM */
  constructor(
    private readonly options: OriginSearchOptions,
    private readonly vmStartedAtMs: Millis,
  ) {
    this.beganAtMs = options.clock.now();
  }

  get durationMs(): Millis {
    return this.options.clock.now() - this.beganAtMs;
  }

  /** Stops the search; no callback follows. */
  cancel(): void {
    this.stops.forEach((stop) => stop());
  }

  readRecord(service: string, receive: (versions: readonly string[] | undefined) => void): void {
    this.stops.push(this.options.recorded.read(service, receive));
  }

  askPeers(stream: StreamKey, receive: (answers: OriginEvidence[]) => void): void {
    const { clock, timers } = this.options;
    const askedAtMs = clock.now();
    const ask = (): void => {
      this.stops.push(
        this.options.ask(stream, (answers) => {
          const mayLink = answers.length === 0 && clock.now() - this.vmStartedAtMs < LINKING_MS;
          if (mayLink && clock.now() - askedAtMs < ASK_AGAIN_MS) {
            this.stops.push(timers.after(ASK_AGAIN_MS, ask));
          } else {
            receive(answers);
          }
        }),
      );
    };
    ask();
  }
}
