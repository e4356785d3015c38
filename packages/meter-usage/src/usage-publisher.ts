/** Tells a VM's counts to those that may report them: once to each what changed, and all to a new one. */
import type { WindowCounts } from './types.js';
import type UsageCounter from './usage-counter.js';

/** Counts in one message: 20 KB with names of 16 letters. The rest goes with the next. */
const MAX_COUNTS_PER_MESSAGE = 1_000;

/** One VM that is told, as long as one link to it stands. */
export interface UsageSubscriber {
  /** Another for each link. */
  link: string;
  tell(windows: WindowCounts[]): void;
}

/** Organisations by window that one listener does not know of. */
type PendingChanges = Map<number, Set<string>>;

/** Remembers what each listener was told. */
export default class UsagePublisher {
  private readonly untold = new Map<string, PendingChanges>();

  constructor(private readonly counter: UsageCounter) {}

  /** A count rose. */
  recordChange(window: number, organisation: string): void {
    for (const untold of this.untold.values()) {
      untold.set(window, (untold.get(window) ?? new Set<string>()).add(organisation));
    }
  }

  /** Tells those that listen now what they do not know. */
  publish(listeners: readonly UsageSubscriber[]): void {
    const links = new Set(listeners.map(({ link }) => link));
    for (const link of [...this.untold.keys()]) {
      if (!links.has(link)) {
        this.untold.delete(link);
      }
    }
    for (const listener of listeners) {
      const untold = this.untold.get(listener.link) ?? this.listAll();
      this.untold.set(listener.link, untold);
      const windows = this.take(untold);
      if (windows.length > 0) {
        listener.tell(windows);
      }
    }
  }

  private listAll(): PendingChanges {
    return new Map(
      this.counter
        .listWindows()
        .map(({ window, counts }) => [
          window,
          new Set(counts.map(([organisation]) => organisation)),
        ]),
    );
  }

  private take(untold: PendingChanges): WindowCounts[] {
    const windows: WindowCounts[] = [];
    let room = MAX_COUNTS_PER_MESSAGE;
    for (const [window, organisations] of listByUrgency(untold)) {
      const taken = [...organisations].slice(0, room);
      room -= taken.length;
      taken.forEach((organisation) => organisations.delete(organisation));
      if (organisations.size === 0) {
        untold.delete(window);
      }
      if (taken.length > 0) {
        windows.push({
          window,
          counts: taken.map((name) => [name, this.counter.getCount(window, name)]),
        });
      }
    }
    return windows;
  }
}

/**
 * The window that is settled next and the present one, then older ones, the latest first: over
 * a new link those that are done would keep the others back.
 */
function listByUrgency(untold: PendingChanges): [number, Set<string>][] {
  const latestFirst = [...untold].sort(([one], [other]) => other - one);
  return [...latestFirst.slice(0, 2).reverse(), ...latestFirst.slice(2)];
}
