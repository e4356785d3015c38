/**
 * The VMs that this one heard of lately, directly or from others. Each is named
 * with the time since it last spoke itself, so that a VM that is gone grows old
 * everywhere at once and is forgotten.
 */
import type { Clock, Millis, Random } from '@limelead/types';
import drawSome from './draw-some.js';
import type { LocatedVm } from './plan-fleet.js';
import type { PeerId } from './types.js';

/** A VM that has not spoken for this long is taken to be gone. */
const FORGET_AFTER_MS = 12_000;
/** A VM is named to others only while it spoke this lately. */
const PASS_ON_MS = 9_000;
/**
 * Times the same for a VM of another region: its word comes over a few bridges, and with
 * 12 s half of a region forgot running VMs of others for a moment.
 */
const DISTANT_FACTOR = 2;
/** VMs that a heartbeat names beside those that are news, at least. */
const LEAST_SAMPLE = 16;
/**
 * Part of all VMs that a heartbeat names. With a dozen links a VM then hears of
 * every other about once a second, so that none is forgotten while it runs: 16 of
 * 410 let some VMs know no more than 355.
 */
const SAMPLE_SHARE = 1 / 12;
/**
 * The same in a fleet of several regions. VMs of other regions are heard of over a few
 * bridges only: with a twelfth, VMs of 410 in seven regions knew as few as 325.
 */
const REGIONS_SAMPLE_SHARE = 1 / 5;
/** VMs that one message names at most: 4 KB, and more than the largest fleet that is planned for. */
const MAX_NAMED = 512;

/** A VM with the time since it last spoke. */
export interface MemberAge {
  id: PeerId;
  ageMs: Millis;
  /** Undefined where the fleet is in one region, and where nobody told it yet. */
  region?: string;
}

interface KnownMember {
  spokeAtMs: Millis;
  region: string | undefined;
}

/** Remembers VMs by address. */
export default class MemberBook {
  private readonly members = new Map<PeerId, KnownMember>();
  /** VMs that this one did not know when it last named some to all its peers. */
  private readonly news = new Set<PeerId>();

  constructor(
    private readonly self: PeerId,
    private readonly clock: Clock,
    private readonly random: Random,
    /** Region of this VM; undefined where the fleet is in one. */
    private readonly region?: string,
  ) {}

  /** VMs that are believed to run, this one included. */
  get count(): number {
    this.forgetOld();
    return this.members.size + 1;
  }

  /** A VM spoke that long ago, as far as somebody knows. */
  hear({ id, ageMs, region }: MemberAge): void {
    const spokeAtMs = this.clock.now() - Math.max(0, ageMs);
    const known = this.members.get(id);
    if (known !== undefined) {
      known.region ??= region;
    }
    if (id === this.self || spokeAtMs <= (known?.spokeAtMs ?? -Infinity)) {
      return;
    }
    this.members.set(id, { spokeAtMs, region: known?.region ?? region });
    if (known === undefined) {
      this.news.add(id);
    }
  }

  /** A VM told its own region, which may be another than others heard. */
  locate(id: PeerId, region: string): void {
    const known = this.members.get(id);
    if (known !== undefined) {
      known.region = region;
    }
  }

  /** A VM does not belong here. */
  forget(id: PeerId): void {
    this.members.delete(id);
    this.news.delete(id);
  }

  /** A VM spoke just now, to this one. */
  hearFrom(id: PeerId): void {
    this.hear({ id, ageMs: 0 });
  }

  /** The other VMs that are believed to run. */
  list(): PeerId[] {
    return this.listLocated().map(({ id }) => id);
  }

  /** The other VMs that spoke within that time, as far as anybody told. */
  listSpoken(withinMs: Millis): PeerId[] {
    const sinceMs = this.clock.now() - withinMs;
    return [...this.members].flatMap(([id, { spokeAtMs }]) => (spokeAtMs >= sinceMs ? [id] : []));
  }

  /** The same, with their regions. */
  listLocated(): LocatedVm[] {
    this.forgetOld();
    return [...this.members].map(([id, { region }]) => ({ id, region }));
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

  /** The VMs of one region that spoke lately. */
  nameRegion(region: string): MemberAge[] {
    return this.listSpeaking().filter((member) => member.region === region);
  }

  private get sampleSize(): number {
    const share = this.region !== undefined ? REGIONS_SAMPLE_SHARE : SAMPLE_SHARE;
    return Math.max(LEAST_SAMPLE, Math.floor(this.members.size * share));
  }

  private listSpeaking(): MemberAge[] {
    const now = this.clock.now();
    return [...this.members]
      .map(([id, { spokeAtMs, region }]) => ({ id, ageMs: Math.round(now - spokeAtMs), region }))
      .filter(({ ageMs, region }) => ageMs <= PASS_ON_MS * this.factorOf(region));
  }

  private factorOf(region: string | undefined): number {
    const isDistant = region !== undefined && region !== this.region;
    return isDistant ? DISTANT_FACTOR : 1;
  }

  private forgetOld(): void {
    const now = this.clock.now();
    for (const [member, { spokeAtMs, region }] of this.members) {
      if (spokeAtMs < now - FORGET_AFTER_MS * this.factorOf(region)) {
        this.members.delete(member);
      }
    }
  }
}
