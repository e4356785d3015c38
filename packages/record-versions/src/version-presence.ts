/** Since when the recorded versions of a service have no targets, as this VM saw it without a gap. */
import type { Clock, Millis } from '@limelead/types';
import type { RecordedVersions } from './recorded-versions.js';

interface Absence {
  sinceMs: Millis;
  /** Revision of the record at that time. */
  revision: number;
}

/** Absences by version. */
export default class VersionPresence {
  private readonly absences = new Map<string, Absence>();

  constructor(private readonly clock: Clock) {}

  /**
   * Handles what this VM sees now. A record that was written since counts as a new absence, since
   * this VM may have missed that the version returned; a view that is old ends what was seen.
   */
  update(
    { versions, revision }: RecordedVersions,
    present: ReadonlySet<string>,
    isViewFresh: boolean,
  ): void {
    for (const [version, absence] of this.absences) {
      const isOver = present.has(version) ? absence.revision < revision : !isViewFresh;
      if (isOver || !versions.includes(version)) {
        this.absences.delete(version);
      }
    }
    for (const version of isViewFresh ? versions : []) {
      if (!present.has(version) && this.absences.get(version)?.revision !== revision) {
        this.absences.set(version, { sinceMs: this.clock.now(), revision });
      }
    }
  }

  /** Whether the version had no targets since the record was last written. */
  wasAbsent(version: string): boolean {
    return this.absences.has(version);
  }

  /** How long the version has had no targets; 0 if this VM cannot tell. */
  absentMs(version: string): Millis {
    const absence = this.absences.get(version);
    return absence === undefined ? 0 : this.clock.now() - absence.sinceMs;
  }
}
