/**
 * Reads a list of the store page by page. What was read stays when a page fails, and the
 * next try goes on behind it: of a fleet that starts at once, and is turned away for it,
 * every VM comes nearer to its list with each page that the store does give.
 */
import type { Clock, Millis } from '@limelead/types';
import * as E from 'fp-ts/lib/Either.js';
import type { StoreFault, StoreItem, StoreList } from './store-port.js';

/** Most pages that one list may have; a store that names more of them is not understood. */
const MAX_PAGES = 64;
/**
 * Age in milliseconds at which pages are read anew. The first watch asks for the changes
 * since the first page, and a store may forget them early.
 */
const KEPT_PAGES_MS: Millis = 5_000;

/** One page of the items, in the order of their keys. */
export interface StorePage {
  items: StoreItem[];
  /** Rows that could not be read at all. */
  skipped?: number;
  /** Key of the last row, where it is not that of the last item. */
  lastKey?: string;
  /** The store's revision when the page was read. */
  revision: number;
  hasMore: boolean;
}

/** Reads the page behind a key; the first page where none is given. */
export type ReadPage = (afterKey: string | undefined) => Promise<E.Either<StoreFault, StorePage>>;

/** A list of which some pages are read. */
interface ListUnderWay {
  items: StoreItem[];
  /** The store's revision when the first page was read. */
  revision: number;
  pages: number;
  skipped: number;
  lastKey: string | undefined;
  begunAtMs: Millis;
}

/** Reads lists for one VM, one at a time. */
export default class PagedList {
  private underWay: ListUnderWay | undefined;

  constructor(
    private readonly clock: Clock,
    private readonly readPage: ReadPage,
  ) {}

  /** Reads all pages that are not kept from a try that failed. */
  async read(): Promise<E.Either<StoreFault, StoreList>> {
    let list = this.takeKept();
    while (list === undefined || list.pages < MAX_PAGES) {
      const begunAtMs = this.clock.now();
      const page = await this.readPage(list?.lastKey);
      if (E.isLeft(page)) {
        this.underWay = isPassing(page.left) ? list : undefined;
        return page;
      }
      const { items, revision, hasMore, skipped = 0, lastKey = items.at(-1)?.key } = page.right;
      list ??= { items: [], revision, pages: 0, skipped: 0, lastKey, begunAtMs };
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

  private takeKept(): ListUnderWay | undefined {
    const kept = this.underWay;
    this.underWay = undefined;
    const isFresh = kept !== undefined && this.clock.now() - kept.begunAtMs < KEPT_PAGES_MS;
    return isFresh ? kept : undefined;
  }
}

/** Whether the same page may be had by asking once more. */
function isPassing(fault: StoreFault): boolean {
  return fault === 'turned-away' || fault === 'unreachable' || fault === 'silent';
}
