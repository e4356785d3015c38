/**
 * Repeats of retry budgets that VMs lend each other. Each VM may spend its own
 * part of a budget; where breaks hit few VMs hard, the others have repeats to
 * spare. A lender counts what it lends as spent, so that no more than the budget
 * is spent by all together, whatever is lost on the way.
 */
import { RecentTimes, type Clock, type Random } from '@limelead/types';
import drawSome from './draw-some.js';
import type { PeerId } from './types.js';

/** Time between two rounds of asking for one service, in milliseconds. */
const ASK_INTERVAL_MS = 100;
/** Peers asked in one round. */
const ASKED_PEERS = 3;
/**
 * Repeats asked of each; what is borrowed and not needed is lost to all. Half of one
 * of three peers pays for the next send also where one of them has none to lend. A
 * whole one of each drained a fleet of 195 VMs within a domain's loss.
 */
const WANTED_REPEATS = 0.5;

/** What loans need. */
export interface RepeatLoansOptions {
  clock: Clock;
  random: Random;
  listPeers(): PeerId[];
  ask(peer: PeerId, service: string, repeats: number): void;
}

/** Asks peers for repeats. */
export default class RepeatLoans {
  private readonly asked = new RecentTimes(ASK_INTERVAL_MS);

  constructor(private readonly options: RepeatLoansOptions) {}

  /** This VM has few repeats left for a service: some peers are asked, others each time. */
  want(service: string): void {
    const { clock, random, listPeers, ask } = this.options;
    const now = clock.now();
    if (this.asked.ageMs(service, now) !== undefined) {
      return;
    }
    this.asked.record(service, now);
    const peers = drawSome(listPeers(), ASKED_PEERS, random);
    peers.forEach((peer) => ask(peer, service, WANTED_REPEATS));
  }
}
