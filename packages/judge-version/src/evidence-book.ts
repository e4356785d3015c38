/** Sums of many VMs, each incarnation counted once. */
import { countAnswers, SendSums, type RouteSums } from './sums.js';

/** Holds the latest sums of every incarnation. */
export default class EvidenceBook {
  private readonly byIncarnation = new Map<string, RouteSums[]>();

  /** Takes the sums of one incarnation; late and repeated ones change nothing. */
  take(incarnation: string, routes: RouteSums[]): void {
    const known = this.byIncarnation.get(incarnation);
    if (known === undefined || countAnswers(routes) > countAnswers(known)) {
      this.byIncarnation.set(incarnation, routes);
    }
  }

  /** The sums of all together. */
  total(): RouteSums[] {
    const total = new SendSums();
    this.byIncarnation.forEach((routes) => total.add(routes));
    return total.read();
  }
}
