/**
 * This VM's load on engines, as it is told to others. Plain services are left out:
 * runs of engines last, and one more slows the others down.
 */
import type { TargetPace } from '@limelead/forward-request';
import type { TargetLoad } from '@limelead/share-evidence';
import type { TargetDirectory, TrackedServiceTarget } from '@limelead/track-service-targets';

/** What it needs. */
export interface EngineLoadOptions {
  directory: TargetDirectory;
  pace: TargetPace;
  isEngine(service: string): boolean;
  /** The load changed. */
  onChange(): void;
}

/** Reads the load, and passes its changes on. */
export default class EngineLoad {
  constructor(private readonly options: EngineLoadOptions) {}

  /** Engines that run something of this VM or keep a copy of it. */
  read(): TargetLoad[] {
    const { directory, pace, isEngine } = this.options;
    return directory
      .all()
      .filter(({ target, inFlight, copies }) => inFlight + copies > 0 && isEngine(target.service))
      .map(({ target, inFlight, reading, copies }) => ({
        id: target.id,
        requests: inFlight,
        reading,
        copies,
        slowness: pace.slownessOf(target.id),
      }));
  }

  /** This VM's work at a target changed. */
  onTargetLoadChange({ target }: TrackedServiceTarget): void {
    if (this.options.isEngine(target.service)) {
      this.options.onChange();
    }
  }
}
