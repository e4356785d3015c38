/** Sums of many VMs, each incarnation counted once. */
import { countAnswers, OutcomeCounter, type RouteOutcomeCounts } from './outcome-counts.js';

/** Holds the latest sums of every incarnation. */
export default class EvidenceTable {
  private readonly byIncarnation = new Map<string, RouteOutcomeCounts[]>();

  /** Takes the sums of one incarnation; late and repeated ones change nothing. */
  record(incarnation: string, routes: RouteOutcomeCounts[]): void {
    const known = this.byIncarnation.get(incarnation);
    if (known === undefined || countAnswers(routes) > countAnswers(known)) {
      this.byIncarnation.set(incarnation, routes);
    }
  }

  /** The sums of all together. */
  total(): RouteOutcomeCounts[] {
    const total = new OutcomeCounter();
    this.byIncarnation.forEach((routes) => total.add(routes));
    return total.snapshot();
  }
}
