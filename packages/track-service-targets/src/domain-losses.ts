/** Targets of one service that were lost lately, failure domain by failure domain. */
import type { Millis } from '@limelead/types';

/** Losses older than this have no say, in milliseconds. */
const KEEP_MS = 5_000;
/** Targets lost in a domain from which on the rest of it is doubted, at least. */
const LEAST_LOSSES = 2;
/** Part of a domain's targets that have to be lost; a few of many are lost at any time. */
const DOUBT_SHARE = 0.1;
/**
 * Times the share lost elsewhere that a domain has to lose. Where targets seem lost
 * all over, the VMs are slow or cut off themselves, and no domain is to blame.
 */
const STAND_OUT = 3;

/** The targets of one domain. */
interface Domain {
  size: number;
  /** Each target's last loss, oldest first. */
  lostAtMs: Map<string, Millis>;
}

/** Remembers losses while they say something about their domain. */
export default class DomainLosses {
  private readonly domains = new Map<string, Domain>();

  /** A target joined a domain. */
  join(failureDomain: string): void {
    this.get(failureDomain).size += 1;
  }

  /** A target is gone from the list; its loss says nothing about those that are there. */
  leave(failureDomain: string, target: string): void {
    const domain = this.get(failureDomain);
    domain.size -= 1;
    domain.lostAtMs.delete(target);
  }

  note(failureDomain: string, target: string, now: Millis): void {
    const { lostAtMs } = this.get(failureDomain);
    lostAtMs.delete(target);
    lostAtMs.set(target, now);
    forgetOld(lostAtMs, now - KEEP_MS);
  }

  /**
   * Whether so many targets of a domain were lost since then, and so many more
   * than elsewhere, that one cause is likely which the rest of them may share.
   */
  isDoubtful(failureDomain: string, since: Millis): boolean {
    const domain = this.get(failureDomain);
    const needed = Math.max(LEAST_LOSSES, domain.size * DOUBT_SHARE);
    if (domain.lostAtMs.size < needed) {
      return false;
    }
    const lost = countSince(domain, since);
    return (
      lost >= needed && lost >= domain.size * STAND_OUT * this.lostShareElsewhere(domain, since)
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

  private get(failureDomain: string): Domain {
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

function forgetOld(lostAtMs: Map<string, Millis>, before: Millis): void {
  for (const [target, at] of lostAtMs) {
    if (at >= before) {
      return;
    }
    lostAtMs.delete(target);
  }
}
