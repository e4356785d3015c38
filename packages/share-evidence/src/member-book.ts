/**
 * The VMs that this one heard of lately, directly or from others. Only those that
 * spoke themselves are named to others, so that a VM that is gone is forgotten.
 */
import type { Clock, Millis } from '@limelead/types';
import type { PeerId } from './evidence-exchange.js';

/** A VM that nobody named for this long is taken to be gone. */
const FORGET_AFTER_MS = 12_000;
/** A VM is passed on to others only while it was heard of this lately. */
const PASS_ON_MS = 4_000;
/** Most addresses in one heartbeat. */
const MAX_SAMPLE = 12;

/** Remembers VMs by address. */
export default class MemberBook {
  private readonly heardAtMs = new Map<PeerId, Millis>();
  private readonly spokeAtMs = new Map<PeerId, Millis>();

  constructor(
    private readonly self: PeerId,
    private readonly clock: Clock,
  ) {}

  /** VMs that are believed to run, this one included. */
  get count(): number {
    return this.list().length + 1;
  }

  /** Somebody named a VM. */
  hear(member: PeerId): void {
    if (member !== this.self) {
      this.heardAtMs.set(member, this.clock.now());
    }
  }

  /** A VM spoke itself. */
  hearFrom(member: PeerId): void {
    this.hear(member);
    this.spokeAtMs.delete(member);
    this.spokeAtMs.set(member, this.clock.now());
  }

  /** The other VMs that are believed to run. */
  list(): PeerId[] {
    const since = this.clock.now() - FORGET_AFTER_MS;
    for (const [member, heardAtMs] of [...this.heardAtMs]) {
      if (heardAtMs < since) {
        this.heardAtMs.delete(member);
        this.spokeAtMs.delete(member);
      }
    }
    return [...this.heardAtMs.keys()];
  }

  /** VMs to name to others, those heard of last. */
  sample(): PeerId[] {
    const since = this.clock.now() - PASS_ON_MS;
    return [...this.spokeAtMs]
      .filter(([, spokeAtMs]) => spokeAtMs >= since)
      .map(([member]) => member)
      .slice(-MAX_SAMPLE);
  }
}
