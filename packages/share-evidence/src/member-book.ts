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
/** VMs that a heartbeat names beside those that are news, at least. */
const LEAST_SAMPLE = 16;
/**
 * Part of all VMs that a heartbeat names. With a dozen links a VM then hears of
 * every other about once a second, so that none is forgotten while it runs: 16 of
 * 410 let some VMs know no more than 355.
 */
const SAMPLE_SHARE = 1 / 12;
/** VMs that one message names at most: 4 KB, and more than the largest fleet that is planned for. */
const MAX_NAMED = 512;

/** A VM with the time since it last spoke. */
export interface MemberAge {
  id: PeerId;
  ageMs: Millis;
}

/** Remembers VMs by address. */
export default class MemberBook {
  private readonly spokeAtMs = new Map<PeerId, Millis>();
  /** VMs that this one did not know when it last named some to all its peers. */
  private readonly news = new Set<PeerId>();

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
    const knownAtMs = this.spokeAtMs.get(id);
    if (id === this.self || spokeAtMs <= (knownAtMs ?? -Infinity)) {
      return;
    }
    this.spokeAtMs.set(id, spokeAtMs);
    if (knownAtMs === undefined) {
      this.news.add(id);
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

  /**
   * VMs to name to all peers: each that is news, once, so that a fleet that starts
   * knows itself within a few rounds, and some drawn at random.
   */
  sample(): MemberAge[] {
    const members = this.listSpeaking();
    const news = members.filter(({ id }) => this.news.has(id)).slice(0, MAX_NAMED);
    const others = members.filter(({ id }) => !this.news.has(id));
    this.news.clear();
    return [...news, ...drawSome(others, this.sampleSize, this.random)];
  }

  /** The VMs to name to a peer that may know none of them. */
  nameAll(): MemberAge[] {
    return drawSome(this.listSpeaking(), MAX_NAMED, this.random);
  }

  private get sampleSize(): number {
    return Math.max(LEAST_SAMPLE, Math.floor(this.spokeAtMs.size * SAMPLE_SHARE));
  }

  private listSpeaking(): MemberAge[] {
    const now = this.clock.now();
    return [...this.spokeAtMs]
      .map(([id, spokeAtMs]): MemberAge => ({ id, ageMs: Math.round(now - spokeAtMs) }))
      .filter(({ ageMs }) => ageMs <= PASS_ON_MS);
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
