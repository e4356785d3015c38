/**
 * This VM's load on engines, as peers receive it. Plain services are left out: their calls are
 * short, whereas runs of engines last and slow each other down.
 */
import type { SlownessTracker } from '@limelead/forward-request';
import { roundTokens, type TargetLoad } from '@limelead/share-evidence';
import type { TargetDirectory, TrackedServiceTarget } from '@limelead/track-service-targets';

/** What the engine load is computed from. */
export interface EngineLoadOptions {
  directory: TargetDirectory;
  slowness: SlownessTracker;
  isEngine(service: string): boolean;
  /** Called when the load on an engine changes. */
  onChange(): void;
}

/** Computes the load of this VM per engine and reports changes. */
export default class EngineLoad {
  constructor(private readonly options: EngineLoadOptions) {}

  /** The load on each engine that runs requests of this VM or holds replicas for it. */
  read(): TargetLoad[] {
    const { directory, slowness, isEngine } = this.options;
    return directory
      .all()
      .filter(
        ({ target, inFlight, replicas }) => inFlight + replicas > 0 && isEngine(target.service),
      )
      .map(({ target, inFlight, reading, replicas }) => ({
        id: target.id,
        requests: inFlight,
        reading,
        copies: replicas,
        slowness: slowness.slownessOf(target.id),
        ...this.readTokens(target.id),
      }));
  }

  /** Omitted if the requests there state no size. */
  private readTokens(target: string): Pick<TargetLoad, 'tokens'> {
    const tokens = roundTokens(this.options.directory.tokens.ownAt(target));
    return tokens === undefined ? {} : { tokens };
  }

  /** Handles a change of this VM's load at a target. */
  onTargetLoadChange({ target }: TrackedServiceTarget): void {
    if (this.options.isEngine(target.service)) {
      this.options.onChange();
    }
  }
}
