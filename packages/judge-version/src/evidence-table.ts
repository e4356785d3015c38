/** Merges outcome counts of many VMs, counting each incarnation once. */
import { countAnswers, OutcomeCounter, type RouteOutcomeCounts } from './outcome-counts.js';

/** Holds the latest counts of every incarnation. */
export default class EvidenceTable {
  private readonly byIncarnation = new Map<string, RouteOutcomeCounts[]>();

  /** Records the counts of one incarnation; late and repeated ones are ignored. */
  record(incarnation: string, routes: RouteOutcomeCounts[]): void {
    const known = this.byIncarnation.get(incarnation);
    if (known === undefined || countAnswers(routes) > countAnswers(known)) {
      this.byIncarnation.set(incarnation, routes);
    }
  }

  /** Returns the counts of all incarnations together. */
  total(): RouteOutcomeCounts[] {
    const total = new OutcomeCounter();
    this.byIncarnation.forEach((routes) => total.add(routes));
    return total.snapshot();
  }
}
