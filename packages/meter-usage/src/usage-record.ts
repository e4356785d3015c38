/**
 * Stored usage: one item with the counts that were settled last. The next window is settled only
 * after these are reported, so the item stays small.
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
  // Last window reported or skipped when the item was written.
  t.partial({ doneUpTo: t.number }),
]);

/** Final counts of a window. */
export type SettledWindow = t.TypeOf<typeof settledCodec>;

/** The stored item as read or last written by this process. */
export interface StoredUsage {
  /** 0 if there is no item. */
  revision: number;
  /** Undefined if nothing was ever reported. */
  doneUpTo?: number;
  settled?: SettledWindow;
  /** Present if this program cannot read the item. */
  isUnreadable?: true;
}

/** Reads and writes the stored item. */
export default class UsageRecord {
  /**
   * @param key key of the item
   * @param dutyKey key whose revision is the token of the duty's holder
   */
  constructor(
    private readonly store: ConditionalStore,
    private readonly key: string,
    private readonly dutyKey: string,
  ) {}

  /**
   * Reads the item. An unreadable one is marked as such and replaced by the next settled window.
   */
  async read(): Promise<E.Either<PortFault, StoredUsage>> {
    const found = await this.store.read(this.key)();
    return E.map((entry: StoreEntry | undefined) =>
      entry === undefined ? { revision: 0 } : { revision: entry.revision, ...parse(entry.value) },
    )(found);
  }

  /** Writes the settled counts if the token is still valid and the item is unchanged. */
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
    // Marked as unreadable; the caller logs it.
    return { isUnreadable: true };
  }
}
