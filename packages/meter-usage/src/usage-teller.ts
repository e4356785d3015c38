/** Tells a VM's counts to those that may report them: once to each what changed, and all to a new one. */
import type { WindowCounts } from './types.js';
import type UsageCounter from './usage-counter.js';

/** Counts in one message: 20 KB with names of 16 letters. The rest goes with the next. */
const MAX_COUNTS = 1_000;

/** One VM that is told, as long as one link to it stands. */
export interface UsageListener {
  /** Another for each link. */
  link: string;
  tell(windows: WindowCounts[]): void;
}

/** Organisations by window that one listener does not know of. */
type Untold = Map<number, Set<string>>;

/** Remembers what each listener was told. */
export default class UsageTeller {
  private readonly untold = new Map<string, Untold>();

  constructor(private readonly counter: UsageCounter) {}

  /** A count rose. */
  note(window: number, organisation: string): void {
    for (const untold of this.untold.values()) {
      untold.set(window, (untold.get(window) ?? new Set<string>()).add(organisation));
    }
  }

  /** Tells those that listen now what they do not know. */
  tell(listeners: readonly UsageListener[]): void {
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

  private listAll(): Untold {
    return new Map(
      this.counter
        .list()
        .map(({ window, counts }) => [
          window,
          new Set(counts.map(([organisation]) => organisation)),
        ]),
    );
  }

  private take(untold: Untold): WindowCounts[] {
    const windows: WindowCounts[] = [];
    let room = MAX_COUNTS;
    for (const [window, organisations] of untold) {
      const taken = [...organisations].slice(0, room);
      room -= taken.length;
      taken.forEach((organisation) => organisations.delete(organisation));
      if (organisations.size === 0) {
        untold.delete(window);
      }
      if (taken.length > 0) {
        windows.push({
          window,
          counts: taken.map((name) => [name, this.counter.read(window, name)]),
        });
      }
    }
    return windows;
  }
}
