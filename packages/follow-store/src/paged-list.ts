/**
 * Reads a list of the store page by page. Pages that were read are kept if a page fails, and the
 * next call continues after them, so that reads make progress even if an overloaded store
 * rejects most calls.
 */
import type { Clock, Millis } from '@limelead/types';
import * as E from 'fp-ts/lib/Either.js';
import type { StoreFault, StoreItem, StoreList } from './store-port.js';

/** Limit on the pages of a list; one with more is treated as invalid. */
const MAX_PAGES = 64;
/**
 * Age at which a partial list is discarded: the first watch requests the changes since its
 * first page, and the store may keep them for a short time only.
 */
const MAX_PARTIAL_LIST_AGE_MS: Millis = 5_000;

/** One page of items in the order of their keys. */
export interface StorePage {
  items: StoreItem[];
  /** Number of rows that could not be decoded. */
  skipped?: number;
  /** Key of the last row, if it differs from that of the last item. */
  lastKey?: string;
  /** The store's revision when the page was read. */
  revision: number;
  hasMore: boolean;
}

/** Reads the page after a key, or the first page if no key is given. */
export type ReadPage = (afterKey: string | undefined) => Promise<E.Either<StoreFault, StorePage>>;

/** A list whose pages are read in part. */
interface PartialList {
  items: StoreItem[];
  /** The store's revision when the first page was read. */
  revision: number;
  pages: number;
  skipped: number;
  lastKey: string | undefined;
  startedAtMs: Millis;
}

/** Reads paged lists and resumes them after a failed page. One read at a time. */
export default class PagedList {
  private partialList: PartialList | undefined;

  constructor(
    private readonly clock: Clock,
    private readonly readPage: ReadPage,
  ) {}

  /** Reads all pages, except those kept from a failed read. */
  async read(): Promise<E.Either<StoreFault, StoreList>> {
    let list = this.takePartialList();
    while (list === undefined || list.pages < MAX_PAGES) {
      const startedAtMs = this.clock.now();
      const page = await this.readPage(list?.lastKey);
      if (E.isLeft(page)) {
        this.partialList = isTransient(page.left) ? list : undefined;
        return page;
      }
      const { items, revision, hasMore, skipped = 0, lastKey = items.at(-1)?.key } = page.right;
      list ??= { items: [], revision, pages: 0, skipped: 0, lastKey, startedAtMs };
      list.items.push(...items);
      list.skipped += skipped;
      list.lastKey = lastKey;
      list.pages += 1;
      if (!hasMore) {
        const { items: all, skipped: left, revision: first } = list;
        return E.right({ items: all, skipped: left, revision: first, lastRevision: revision });
      }
    }
    return E.left('invalid');
  }

  private takePartialList(): PartialList | undefined {
    const partial = this.partialList;
    this.partialList = undefined;
    const isFresh =
      partial !== undefined && this.clock.now() - partial.startedAtMs < MAX_PARTIAL_LIST_AGE_MS;
    return isFresh ? partial : undefined;
  }
}

/** Whether a retry of the same page may succeed. */
function isTransient(fault: StoreFault): boolean {
  return fault === 'turned-away' || fault === 'unreachable' || fault === 'silent';
}
