/** The current configuration of this VM. Its revision only increases. */
import {
  applyChanges,
  EMPTY_CONFIGURATION,
  type Configuration,
} from '@limelead/configuration-state';
import type { Change } from '@limelead/types';

/** Number of changes kept for peers with a slightly older revision. */
const MAX_RECENT_CHANGES = 96;

/** Source of a newer configuration. */
export type ConfigurationSource = 'store' | 'peer' | 'own-change';

/** Called after each change to a higher revision. */
export type ConfigurationListener = (
  configuration: Configuration,
  source: ConfigurationSource,
) => void;

/** Holds the current configuration and its latest changes. */
export default class ConfigurationHolder {
  private current = EMPTY_CONFIGURATION;
  private recentChanges: Change[] = [];
  private readonly listeners: ConfigurationListener[] = [];

  /** The current configuration. */
  get configuration(): Configuration {
    return this.current;
  }

  /** The latest changes, oldest first. */
  get latestChanges(): readonly Change[] {
    return this.recentChanges;
  }

  /** Registers a listener for changes of the revision. */
  onAdvance(listener: ConfigurationListener): void {
    this.listeners.push(listener);
  }

  /** Applies changes to the current configuration; returns whether the revision increased. */
  adoptChanges(changes: readonly Change[], source: ConfigurationSource): boolean {
    return this.adopt(applyChanges(this.current, changes), changes, source);
  }

  /** Replaces the configuration if the new one has a higher revision; returns whether it did. */
  adopt(
    configuration: Configuration,
    changes: readonly Change[],
    source: ConfigurationSource,
  ): boolean {
    if (configuration.revision <= this.current.revision) {
      return false;
    }
    this.current = configuration;
    this.recordChanges(changes);
    this.listeners.forEach((listener) => listener(configuration, source));
    return true;
  }

  /** Returns the changes after a revision, or undefined if some of them are no longer kept. */
  changesAfter(revision: number): Change[] | undefined {
    const after = this.recentChanges.filter((change) => change.revision > revision);
    return after[0]?.revision === revision + 1 ? after : undefined;
  }

  private recordChanges(changes: readonly Change[]): void {
    const { revision } = this.current;
    const byRevision = new Map(
      [...this.recentChanges, ...changes]
        .filter((change) => change.revision <= revision)
        .map((change) => [change.revision, change] as const),
    );
    const sorted = [...byRevision.values()].sort((a, b) => a.revision - b.revision);
    this.recentChanges = keepContiguousChanges(sorted, revision).slice(-MAX_RECENT_CHANGES);
  }
}

/** Returns the longest contiguous sequence of changes that ends at the revision. */
function keepContiguousChanges(changes: Change[], revision: number): Change[] {
  let index = changes.length;
  while (index > 0 && changes[index - 1]?.revision === revision - (changes.length - index)) {
    index -= 1;
  }
  return changes.slice(index);
}
