/** The software versions of each service's targets that ran lately. */
import type { Clock, Millis, SeenVersion } from '@limelead/types';

/** Time after which a version without targets is forgotten; longer than any stream lasts. */
export const VERSION_TTL_MS: Millis = 600_000;

/** Versions by service. */
export default class VersionHistory {
  private readonly seenAtMs = new Map<string, Map<string, Millis>>();

  /** @param listPresent the versions that count now, with repeats: of targets, and recorded ones */
  constructor(
    private readonly clock: Clock,
    private readonly listPresent: (service: string) => string[],
  ) {}

  /** Records that a target ran a version, now or so long ago. */
  record(service: string, { softwareVersion, agoMs }: SeenVersion): void {
    const versions = this.seenAtMs.get(service) ?? new Map<string, Millis>();
    const seenAtMs = Math.max(this.clock.now() - agoMs, versions.get(softwareVersion) ?? -Infinity);
    this.seenAtMs.set(service, versions.set(softwareVersion, seenAtMs));
  }

  /** Records several versions. */
  recordAll(service: string, versions: readonly SeenVersion[]): void {
    versions.forEach((version) => this.record(service, version));
  }

  /** Whether a target of the version was recorded or listed lately. */
  has(service: string, softwareVersion: string): boolean {
    const seenAtMs = this.seenAtMs.get(service)?.get(softwareVersion) ?? -Infinity;
    return this.clock.now() - seenAtMs < VERSION_TTL_MS;
  }

  /** The versions of a service that run now or ran lately. */
  list(service: string): SeenVersion[] {
    this.listPresent(service).forEach((softwareVersion) =>
      this.record(service, { softwareVersion, agoMs: 0 }),
    );
    const versions = this.seenAtMs.get(service) ?? new Map<string, Millis>();
    const now = this.clock.now();
    const oldestMs = now - VERSION_TTL_MS;
    for (const [version, seenAtMs] of versions) {
      if (seenAtMs <= oldestMs) {
        versions.delete(version);
      }
    }
    return [...versions].map(([softwareVersion, seenAtMs]) => ({
      softwareVersion,
      agoMs: now - seenAtMs,
    }));
  }
}
