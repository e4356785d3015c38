/** Crashes and quarantines by request, bounded in number. */
import type { Millis } from '@limelead/types';
import type { CrashRecord, Quarantine } from './crash-record.js';
import type { RequestIdentity } from './identify-request.js';

/** Maximum number of requests with crashes; an entry takes about 1 KB. */
const MAX_REQUESTS = 2_000;

/** What is known of one request. */
export interface RequestEntry extends Quarantine {
  /** By target. */
  crashes: Map<string, CrashRecord>;
  quarantinedAtMs: Millis | undefined;
  changedAtMs: Millis;
}

/** The entries, least recently changed first. */
export default class RequestEntries extends Map<RequestIdentity, RequestEntry> {
  /** @param onDropped called with a request that is evicted for lack of space */
  constructor(private readonly onDropped: (request: RequestIdentity) => void) {
    super();
  }

  /** Returns the entry of a request, which is created if needed, as the one changed last. */
  open(request: RequestIdentity, { service, caller }: Quarantine, now: Millis): RequestEntry {
    const entry = this.get(request) ?? {
      service,
      caller,
      crashes: new Map<string, CrashRecord>(),
      quarantinedAtMs: undefined,
      changedAtMs: now,
    };
    this.moveToEnd(request, entry, now);
    this.evict();
    return entry;
  }

  moveToEnd(request: RequestIdentity, entry: RequestEntry, now: Millis): void {
    entry.changedAtMs = now;
    this.delete(request);
    this.set(request, entry);
  }

  deleteIfEmpty(request: RequestIdentity): void {
    if (this.get(request)?.crashes.size === 0) {
      this.delete(request);
    }
  }

  /** Evicts requests that are not quarantined first, the least recently changed first. */
  private evict(): void {
    if (this.size <= MAX_REQUESTS) {
      return;
    }
    const all = [...this];
    const [surplus] = all.find(([, entry]) => entry.quarantinedAtMs === undefined) ?? all[0] ?? [];
    if (surplus !== undefined) {
      this.delete(surplus);
      this.onDropped(surplus);
    }
  }
}
