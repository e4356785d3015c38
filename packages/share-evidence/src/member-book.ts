/**
 * The VMs that this one heard of lately, directly or from others. Each is named
 * with the time since it last spoke itself, so that a VM that is gone grows old
 * everywhere at once and is forgotten.
 */
import type { Clock, Millis, Random } from '@limelead/types';
import drawSome from './draw-some.js';
import type { PeerId } from './types.js';

/** A VM that has not spoken for this long is taken to be gone. */
const FORGET_AFTER_MS = 12_000;
/** A VM is named to others only while it spoke this lately. */
const PASS_ON_MS = 9_000;
/** Most VMs named in one heartbeat. */
const MAX_SAMPLE = 16;

/** A VM with the time since it last spoke. */
export interface MemberAge {
  id: PeerId;
  ageMs: Millis;
}

/** Remembers VMs by address. */
export default class MemberBook {
  private readonly spokeAtMs = new Map<PeerId, Millis>();

  constructor(
    private readonly self: PeerId,
    private readonly clock: Clock,
    private readonly random: Random,
  ) {}

  /** VMs that are believed to run, this one included. */
  get count(): number {
    this.forgetOld();
    return this.spokeAtMs.size + 1;
  }

  /** A VM spoke that long ago, as far as somebody knows. */
  hear({ id, ageMs }: MemberAge): void {
    const spokeAtMs = this.clock.now() - Math.max(0, ageMs);
    if (id !== this.self && spokeAtMs > (this.spokeAtMs.get(id) ?? -Infinity)) {
      this.spokeAtMs.set(id, spokeAtMs);
    }
  }

  /** A VM spoke just now, to this one. */
  hearFrom(id: PeerId): void {
    this.hear({ id, ageMs: 0 });
  }

  /** The other VMs that are believed to run. */
  list(): PeerId[] {
    this.forgetOld();
    return [...this.spokeAtMs.keys()];
  }

  /** Some VMs to name to others, drawn at random. */
  sample(): MemberAge[] {
    const now = this.clock.now();
    const members = [...this.spokeAtMs]
      .map(([id, spokeAtMs]): MemberAge => ({ id, ageMs: Math.round(now - spokeAtMs) }))
      .filter(({ ageMs }) => ageMs <= PASS_ON_MS);
    return drawSome(members, MAX_SAMPLE, this.random);
  }

  private forgetOld(): void {
    const since = this.clock.now() - FORGET_AFTER_MS;
    for (const [member, spokeAtMs] of this.spokeAtMs) {
      if (spokeAtMs < since) {
        this.spokeAtMs.delete(member);
      }
    }
  }
}
