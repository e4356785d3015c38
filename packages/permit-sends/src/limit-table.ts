/**
 * The rate limit of each target. Responses and updates of peers may arrive out of order: of two
 * updates of a target the one whose request was sent later is the newer.
 */
import type { Millis } from '@limelead/types';

/** The limit that a target advertised, or did not, in one response. */
export interface LimitUpdate {
  /** Id of the target's incarnation. */
  target: string;
  /** Requests a second from all VMs together; undefined if the response named no limit. */
  perSecond: number | undefined;
  /** When the request of that response was sent; steady time. */
  askedAtMs: Millis;
  /** Id of the update, the same at every VM. */
  mark: string;
}

/** Result of applying an update. */
export type LimitUpdateResult =
  | { kind: 'changed'; from: number | undefined }
  /** The limit did not change. */
  | { kind: 'known' }
  /** A later update of the target has another limit. */
  | { kind: 'outdated'; newest: LimitUpdate };

/** Holds the newest update of each target that ever advertised a limit. */
export default class LimitTable {
  private readonly updates = new Map<string, LimitUpdate>();
  /** Requests a second of the targets that have a limit. */
  private readonly rates = new Map<string, number>();

  /** Requests a second that a target accepts; undefined without a limit. */
  getRate(target: string): number | undefined {
    return this.rates.get(target);
  }

  /** All newest updates, including those that lifted a limit. */
  list(): LimitUpdate[] {
    return [...this.updates.values()];
  }

  /** Requests a second of each target that has a limit. */
  get limitedTargets(): ReadonlyMap<string, number> {
    return this.rates;
  }

  /** Applies an update unless a newer one is known. */
  apply(update: LimitUpdate): LimitUpdateResult {
    const known = this.updates.get(update.target);
    if (known === undefined && update.perSecond === undefined) {
      return { kind: 'known' };
    }
    if (known !== undefined && update.askedAtMs < known.askedAtMs) {
      return update.perSecond === known.perSecond
        ? { kind: 'known' }
        : { kind: 'outdated', newest: known };
    }
    this.store(update);
    return update.perSecond === known?.perSecond
      ? { kind: 'known' }
      : { kind: 'changed', from: known?.perSecond };
  }

  /** Forgets an incarnation that ended. */
  forget(target: string): void {
    this.updates.delete(target);
    this.rates.delete(target);
  }

  private store(update: LimitUpdate): void {
    this.updates.set(update.target, update);
    if (update.perSecond === undefined) {
      this.rates.delete(update.target);
    } else {
      this.rates.set(update.target, update.perSecond);
    }
  }
}
