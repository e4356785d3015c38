/**
 * Recently removed keys with the store revision of each removal. A peer that lacks only recent
 * changes receives the removed keys instead of the much longer list of present keys: with 3,000
 * targets that list has 60 KB, and 300 VMs would request it at each change.
 */

/** Number of removals that are kept. */
const MAX_REMOVALS = 2_048;

interface Removal {
  key: string;
  revision: number;
}

/** Keeps the last removals. */
export default class RemovalHistory {
  private removals: Removal[] = [];
  /** All removals after this revision are kept; `Infinity` before the first list. */
  private completeSince = Infinity;

  /**
   * Restarts the history at the revision of a complete list. Earlier removals are dropped,
   * because this VM may have missed some of them.
   */
  reset(revision: number): void {
    this.removals = [];
    this.completeSince = revision;
  }

  /** Records that a key was removed by that revision. */
  record(key: string, revision: number): void {
    this.removals.push({ key, revision });
    if (this.removals.length > MAX_REMOVALS) {
      const forgotten = this.removals.shift();
      this.completeSince = Math.max(this.completeSince, forgotten?.revision ?? 0);
    }
  }

  /** Lists the keys removed after a revision; undefined if some of them are unknown. */
  listSince(revision: number): string[] | undefined {
    if (revision < this.completeSince) {
      return undefined;
    }
    return this.removals.filter((removal) => removal.revision > revision).map(({ key }) => key);
  }
}
