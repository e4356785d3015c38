/** The configuration in force on this VM. It only ever moves to a higher revision. */
import {
  applyChanges,
  EMPTY_CONFIGURATION,
  type Configuration,
} from '@limelead/configuration-state';
import type { Change } from '@limelead/types';

/** Changes kept for peers that are a little behind. */
const MAX_RECENT_CHANGES = 96;

/** Where a newer configuration came from. */
export type ConfigurationSource = 'store' | 'peer' | 'own-change';

/** Told after each move to a higher revision. */
export type ConfigurationListener = (
  configuration: Configuration,
  source: ConfigurationSource,
) => void;

/** Holds the configuration of one VM. */
export default class ConfigurationHolder {
  private current = EMPTY_CONFIGURATION;
  private recentChanges: Change[] = [];
  private readonly listeners: ConfigurationListener[] = [];

  /** The configuration in force. */
  get configuration(): Configuration {
    return this.current;
  }

  /** The newest changes, oldest first. */
  get latestChanges(): readonly Change[] {
    return this.recentChanges;
  }

  /** Registers a listener. */
  onAdvance(listener: ConfigurationListener): void {
    this.listeners.push(listener);
  }

  /** Takes changes that follow on what is in force; says whether the revision moved. */
  adoptChanges(changes: readonly Change[], source: ConfigurationSource): boolean {
    return this.adopt(applyChanges(this.current, changes), changes, source);
  }

  /** Takes a whole configuration if it is newer; says whether the revision moved. */
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

  /** The changes after a revision, or undefined where they are no longer all kept. */
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

/** The longest run of changes without a gap that ends at the revision. */
function keepContiguousChanges(changes: Change[], revision: number): Change[] {
  let index = changes.length;
  while (index > 0 && changes[index - 1]?.revision === revision - (changes.length - index)) {
    index -= 1;
  }
  return changes.slice(index);
}
