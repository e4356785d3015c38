/** Recently lost targets of one service, by failure domain. */
import type { Millis } from '@limelead/types';

/** Losses older than this are forgotten, in milliseconds. */
const LOSS_TTL_MS = 5_000;
/** Minimum number of losses that make a domain suspected. */
const MIN_LOSSES = 2;
/**
 * Minimum share of a domain's targets that must be lost, since a few of many are lost at any time.
 */
const MIN_LOST_SHARE = 0.1;
/**
 * Minimum ratio of the lost share in a domain to the lost share elsewhere. If targets seem lost
 * everywhere, this VM is slow or disconnected, and no domain is suspected.
 */
const MIN_RATIO_TO_OTHER_DOMAINS = 3;

/** Targets of one domain. */
interface Domain {
  size: number;
  /** Last loss of each target, oldest first. */
  lostAtMs: Map<string, Millis>;
}

/** Detects failure domains that lose many targets at once. */
export default class DomainLossTracker {
  private readonly domains = new Map<string, Domain>();

  addTarget(failureDomain: string): void {
    this.openDomain(failureDomain).size += 1;
  }

  /** Removes an unlisted target with its loss, which says nothing about the others. */
  removeTarget(failureDomain: string, target: string): void {
    const domain = this.openDomain(failureDomain);
    domain.size -= 1;
    domain.lostAtMs.delete(target);
  }

  recordLoss(failureDomain: string, target: string, now: Millis): void {
    const { lostAtMs } = this.openDomain(failureDomain);
    lostAtMs.delete(target);
    lostAtMs.set(target, now);
    forgetBefore(lostAtMs, now - LOSS_TTL_MS);
  }

  /**
   * Whether a domain lost so many targets since that time, and so many more than other domains,
   * that the rest of it is likely affected.
   */
  isSuspected(failureDomain: string, since: Millis): boolean {
    const domain = this.openDomain(failureDomain);
    const needed = Math.max(MIN_LOSSES, domain.size * MIN_LOST_SHARE);
    if (domain.lostAtMs.size < needed) {
      return false;
    }
    const lost = countSince(domain, since);
    return (
      lost >= needed &&
      lost >= domain.size * MIN_RATIO_TO_OTHER_DOMAINS * this.lostShareElsewhere(domain, since)
    );
  }

  private lostShareElsewhere(domain: Domain, since: Millis): number {
    let size = 0;
    let lost = 0;
    for (const other of this.domains.values()) {
      if (other !== domain) {
        size += other.size;
        lost += countSince(other, since);
      }
    }
    return size === 0 ? 0 : lost / size;
  }

  private openDomain(failureDomain: string): Domain {
    const known = this.domains.get(failureDomain);
    if (known !== undefined) {
      return known;
    }
    const domain: Domain = { size: 0, lostAtMs: new Map() };
    this.domains.set(failureDomain, domain);
    return domain;
  }
}

function countSince({ lostAtMs }: Domain, since: Millis): number {
  let count = 0;
  for (const at of lostAtMs.values()) {
    count += at >= since ? 1 : 0;
  }
  return count;
}

function forgetBefore(lostAtMs: Map<string, Millis>, before: Millis): void {
  for (const [target, at] of lostAtMs) {
    if (at >= before) {
      return;
    }
    lostAtMs.delete(target);
  }
}
