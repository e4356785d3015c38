/** Targets that were lost lately, failure domain by failure domain. */
import type { Millis } from '@limelead/types';

/** Losses older than this have no say, in milliseconds. */
const KEEP_MS = 5_000;
/** Targets lost in a domain from which on the rest of it is doubted, at least. */
const LEAST_LOSSES = 2;
/** Part of a domain's targets that have to be lost; a few of many are lost at any time. */
const DOUBT_SHARE = 0.1;

/** Remembers losses while they say something about their domain. */
export default class DomainLosses {
  /** Domain by domain, each target's last loss, oldest first. */
  private readonly losses = new Map<string, Map<string, Millis>>();

  note(failureDomain: string, target: string, now: Millis): void {
    const losses = this.losses.get(failureDomain) ?? new Map<string, Millis>();
    this.losses.set(failureDomain, losses);
    losses.delete(target);
    losses.set(target, now);
    forgetOld(losses, now - KEEP_MS);
  }

  /** A target is gone from the list; its loss says nothing about those that are there. */
  forget(failureDomain: string, target: string): void {
    this.losses.get(failureDomain)?.delete(target);
  }

  /**
   * Whether so many targets of a domain were lost since then that one cause is
   * likely, which the rest of them may share.
   * @param size targets of the domain
   */
  isDoubtful(failureDomain: string, size: number, since: Millis): boolean {
    const needed = Math.max(LEAST_LOSSES, size * DOUBT_SHARE);
    const losses = this.losses.get(failureDomain);
    if (losses === undefined || losses.size < needed) {
      return false;
    }
    let count = 0;
    for (const lostAtMs of losses.values()) {
      count += lostAtMs >= since ? 1 : 0;
    }
    return count >= needed;
  }
}

function forgetOld(losses: Map<string, Millis>, before: Millis): void {
  for (const [target, lostAtMs] of losses) {
    if (lostAtMs >= before) {
      return;
    }
    losses.delete(target);
  }
}
