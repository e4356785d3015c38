/** The versions of a service at which streams wait to begin, and since when. */
import type { Clock, Millis } from '@limelead/types';

/** Waiting versions. */
export default class WaitingVersions {
  private readonly sinceMs = new Map<string, Millis>();

  constructor(private readonly clock: Clock) {}

  get size(): number {
    return this.sinceMs.size;
  }

  /** Replaces the list; versions that are on it already wait on. */
  update(versions: readonly string[]): void {
    for (const version of this.sinceMs.keys()) {
      if (!versions.includes(version)) {
        this.sinceMs.delete(version);
      }
    }
    for (const version of versions) {
      this.sinceMs.set(version, this.sinceMs.get(version) ?? this.clock.now());
    }
  }

  has(version: string): boolean {
    return this.sinceMs.has(version);
  }

  /** How long a version has waited; 0 if it does not. */
  waitedMs(version: string): Millis {
    const sinceMs = this.sinceMs.get(version);
    return sinceMs === undefined ? 0 : this.clock.now() - sinceMs;
  }

  list(): string[] {
    return [...this.sinceMs.keys()];
  }
}
