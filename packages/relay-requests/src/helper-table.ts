/** What one VM knows of the VMs to which it relays requests. */
import { RecentTimes, type Clock, type Millis } from '@limelead/types';
import type { HelperCandidate } from './choose-helper.js';

/** Time for which a VM that declined a request gets no others of the same service. */
const DECLINED_TTL_MS: Millis = 500;
/** Time for which a VM that accepted no connection gets no requests. */
const UNREACHABLE_TTL_MS: Millis = 2_000;

/** Helpers by id. */
export default class HelperTable {
  private readonly openRequests = new Map<string, number>();
  private readonly declined = new RecentTimes(DECLINED_TTL_MS);
  private readonly unreachable = new RecentTimes(UNREACHABLE_TTL_MS);

  constructor(private readonly clock: Clock) {}

  /** Those of the VMs that may take a request for the service. */
  listCandidates(service: string, ids: readonly string[]): HelperCandidate[] {
    const now = this.clock.now();
    return ids
      .filter((id) => this.unreachable.ageMs(id, now) === undefined)
      .filter((id) => this.declined.ageMs(toKey(service, id), now) === undefined)
      .map((id) => ({ id, openRequests: this.openRequests.get(id) ?? 0 }));
  }

  /** Counts a request; returns a function that ends it. */
  open(id: string): () => void {
    this.openRequests.set(id, (this.openRequests.get(id) ?? 0) + 1);
    return () => {
      const left = (this.openRequests.get(id) ?? 1) - 1;
      if (left > 0) {
        this.openRequests.set(id, left);
      } else {
        this.openRequests.delete(id);
      }
    };
  }

  recordDeclined(service: string, id: string): void {
    this.declined.record(toKey(service, id), this.clock.now());
  }

  recordUnreachable(id: string): void {
    this.unreachable.record(id, this.clock.now());
  }
}

function toKey(service: string, id: string): string {
  return `${service} ${id}`;
}
