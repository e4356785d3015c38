/** Model versions loaded by an engine and the placement orders applied to them. */
import {
  isSameModelVersion,
  type Clock,
  type ModelVersion,
  type PlacementOrder,
} from '@limelead/types';

/** Initial versions, load time and fencing of an engine. */
export interface LoadedModelsOptions {
  loaded: ModelVersion[];
  loadMs: number;
  checksFences: boolean;
  clock: Clock;
}

/** Model versions of one engine. */
export default class LoadedModels {
  readonly orders: PlacementOrder[] = [];
  fence = 0;
  private versions: { version: ModelVersion; readyAtMs: number }[];

  constructor(private readonly options: LoadedModelsOptions) {
    this.versions = options.loaded.map((version) => ({ version, readyAtMs: 0 }));
  }

  loaded(): ModelVersion[] {
    const now = this.options.clock.now();
    return this.versions.filter(({ readyAtMs }) => readyAtMs <= now).map(({ version }) => version);
  }

  isLoaded(version: ModelVersion): boolean {
    return this.loaded().some((loaded) => isSameModelVersion(loaded, version));
  }

  /** Applies a placement order; returns false if its fence is outdated. */
  applyOrder(order: PlacementOrder): boolean {
    if (this.options.checksFences && order.fence < this.fence) {
      return false;
    }
    this.fence = Math.max(this.fence, order.fence);
    this.orders.push(order);
    const others = this.versions.filter(
      ({ version }) => !isSameModelVersion(version, order.modelVersion),
    );
    if (order.action === 'unload') {
      this.versions = others;
    } else if (others.length === this.versions.length) {
      const readyAtMs = this.options.clock.now() + this.options.loadMs;
      this.versions = [...others, { version: order.modelVersion, readyAtMs }];
    }
    return true;
  }
}
