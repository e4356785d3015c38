/**
 * Publishes a VM's counts to the VMs that may report them: all counts over a new link, then changes
 * only.
 */
import type { WindowCounts } from './types.js';
import type UsageCounter from './usage-counter.js';

/**
 * Maximum number of counts per message, 20 KB with names of 16 characters; the rest follows in the
 * next one.
 */
const MAX_COUNTS_PER_MESSAGE = 1_000;

/** A VM that receives counts, for as long as one link to it lasts. */
export interface UsageSubscriber {
  /** Id of the link. */
  link: string;
  send(windows: WindowCounts[]): void;
}

/** Organisations by window whose counts a subscriber has not received yet. */
type PendingChanges = Map<number, Set<string>>;

/** Tracks which counts each subscriber has received. */
export default class UsagePublisher {
  private readonly pending = new Map<string, PendingChanges>();

  constructor(private readonly counter: UsageCounter) {}

  /** Records that a count increased. */
  recordChange(window: number, organisation: string): void {
    for (const pending of this.pending.values()) {
      pending.set(window, (pending.get(window) ?? new Set<string>()).add(organisation));
    }
  }

  /** Sends pending counts to the current subscribers. */
  publish(subscribers: readonly UsageSubscriber[]): void {
    const links = new Set(subscribers.map(({ link }) => link));
    for (const link of [...this.pending.keys()]) {
      if (!links.has(link)) {
        this.pending.delete(link);
      }
    }
    for (const subscriber of subscribers) {
      const pending = this.pending.get(subscriber.link) ?? this.listAllCounts();
      this.pending.set(subscriber.link, pending);
      const windows = this.takePending(pending);
      if (windows.length > 0) {
        subscriber.send(windows);
      }
    }
  }

  private listAllCounts(): PendingChanges {
    return new Map(
      this.counter
        .listWindows()
        .map(({ window, counts }) => [
          window,
          new Set(counts.map(([organisation]) => organisation)),
        ]),
    );
  }

  private takePending(pending: PendingChanges): WindowCounts[] {
    const windows: WindowCounts[] = [];
    let remaining = MAX_COUNTS_PER_MESSAGE;
    for (const [window, organisations] of listByUrgency(pending)) {
      const selected = [...organisations].slice(0, remaining);
      remaining -= selected.length;
      selected.forEach((organisation) => organisations.delete(organisation));
      if (organisations.size === 0) {
        pending.delete(window);
      }
      if (selected.length > 0) {
        windows.push({
          window,
          counts: selected.map((name) => [name, this.counter.getCount(window, name)]),
        });
      }
    }
    return windows;
  }
}

/**
 * Orders the previous and the current window first, then older ones, latest first, so that windows
 * already reported do not delay the others over a new link.
 */
function listByUrgency(pending: PendingChanges): [number, Set<string>][] {
  const latestFirst = [...pending].sort(([first], [second]) => second - first);
  return [...latestFirst.slice(0, 2).reverse(), ...latestFirst.slice(2)];
}
