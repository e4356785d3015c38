/**
 * What the store holds of usage: one item with the counts that were settled last. The next
 * window is settled only once these were reported, so it never grows.
 */
import type { PortFault } from '@limelead/errors';
import type { ConditionalStore, StoreEntry, WriteOutcome } from '@limelead/ports';
import * as E from 'fp-ts/lib/Either.js';
import * as t from 'io-ts';

const settledCodec = t.type({
  window: t.number,
  counts: t.array(t.tuple([t.string, t.number])),
});
const recordCodec = t.intersection([
  t.type({ settled: settledCodec }),
  // The last window that was reported or skipped when this was written.
  t.partial({ doneUpTo: t.number }),
]);

/** Counts of a window that nobody changes any more. */
export type SettledWindow = t.TypeOf<typeof settledCodec>;

/** The item as it was read, or written by this process. */
export interface StoredUsage {
  /** 0 where there is none. */
  revision: number;
  /** Undefined where nothing was ever reported. */
  doneUpTo?: number;
  settled?: SettledWindow;
  /** The item says something that this program does not understand. */
  isUnreadable?: true;
}

/** Reads and writes the item. */
export default class UsageRecord {
  /**
   * @param key of the item
   * @param dutyKey key whose revision is the token of the duty's holder
   */
  constructor(
    private readonly store: ConditionalStore,
    private readonly key: string,
    private readonly dutyKey: string,
  ) {}

  /** An item that makes no sense is told as such; the next one that is settled replaces it. */
  async read(): Promise<E.Either<PortFault, StoredUsage>> {
    const found = await this.store.read(this.key)();
    return E.map((entry: StoreEntry | undefined) =>
      entry === undefined ? { revision: 0 } : { revision: entry.revision, ...parse(entry.value) },
    )(found);
  }

  /** Written only by the holder of a token, and only upon the item that it knows. */
  settle(
    token: number,
    { revision, doneUpTo }: StoredUsage,
    settled: SettledWindow,
  ): Promise<E.Either<PortFault, WriteOutcome>> {
    const value = Buffer.from(JSON.stringify({ settled, doneUpTo }));
    return this.store.write(
      [
        { key: this.dutyKey, revision: token },
        { key: this.key, revision },
      ],
      [{ kind: 'put', key: this.key, value }],
    )();
  }
}

function parse(value: Buffer): t.TypeOf<typeof recordCodec> | { isUnreadable: true } {
  try {
    const decoded = recordCodec.decode(JSON.parse(value.toString()));
    return E.isRight(decoded) ? decoded.right : { isUnreadable: true };
  } catch {
    // Told as such: the caller writes a line.
    return { isUnreadable: true };
  }
}
