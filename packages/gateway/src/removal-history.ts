/**
 * Keys that went lately, with the revision of the store by which they were gone. A peer
 * that lacks little is told what went in place of all that is there: with 3,000 targets
 * the keys of all are 60 KB, which 300 VMs ask for at each change.
 */

/** Removals that are remembered: some minutes of a fleet of thousands of targets. */
const MAX_REMOVALS = 2_048;

interface Removal {
  key: string;
  revision: number;
}

/** Remembers the last removals. */
export default class RemovalHistory {
  private removals: Removal[] = [];
  /** Every removal behind this revision is remembered; none before the first list. */
  private completeSince = Infinity;

  /**
   * All that is there was learnt anew at that revision. What came and went unseen before
   * it may be known to peers, so nothing earlier is told any more.
   */
  reset(revision: number): void {
    this.removals = [];
    this.completeSince = revision;
  }

  /** A key was gone by that revision. */
  record(key: string, revision: number): void {
    this.removals.push({ key, revision });
    if (this.removals.length > MAX_REMOVALS) {
      const forgotten = this.removals.shift();
      this.completeSince = Math.max(this.completeSince, forgotten?.revision ?? 0);
    }
  }

  /** The keys that went behind a revision; undefined where not all of them are known. */
  listSince(revision: number): string[] | undefined {
    if (revision < this.completeSince) {
      return undefined;
    }
    return this.removals.filter((removal) => removal.revision > revision).map(({ key }) => key);
  }
}
