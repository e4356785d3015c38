/**
 * Registry of the VMs that are known directly or from gossip. Each entry carries the time since the
 * VM's own last message, so that a stopped VM expires everywhere at the same time.
 */
import type { Clock, Millis, Random } from '@limelead/types';
import pickRandomEntries from './pick-random-entries.js';
import type { VmWithRegion } from './plan-fleet.js';
import type { PeerId } from './types.js';

/** Time after its last message at which a VM expires. */
const EVICT_AFTER_MS = 12_000;
/** Maximum age of a member that is still sent to peers. */
const GOSSIP_MAX_AGE_MS = 9_000;
/**
 * Factor on both times for VMs of other regions, whose messages arrive over few bridges. With 12 s,
 * half of a region temporarily lost running VMs of other regions.
 */
const OTHER_REGION_FACTOR = 2;
/** Minimum number of already known VMs in a heartbeat. */
const MIN_SAMPLE = 16;
/**
 * Share of all VMs in a heartbeat. With a dozen links each VM learns of every other about once a
 * second, so that no running VM expires. With 16 of 410 VMs per heartbeat, some VMs knew only 355.
 */
const SAMPLE_SHARE = 1 / 12;
/**
 * The same share in a fleet of several regions, whose VMs learn of each other over few bridges.
 * With one twelfth, some of 410 VMs in seven regions knew only 325.
 */
const MULTI_REGION_SAMPLE_SHARE = 1 / 5;
/** Maximum number of VMs in one message, 4 KB; more than the largest planned fleet has. */
const MAX_GOSSIPED_MEMBERS = 512;

/** A VM with the time since its last message. */
export interface GossipedMember {
  id: PeerId;
  ageMs: Millis;
  /** Undefined if the fleet has one region or the region is not known yet. */
  region?: string;
}

interface KnownMember {
  lastSeenAtMs: Millis;
  region: string | undefined;
}

/** Stores VMs by address. */
export default class MemberRegistry {
  private readonly members = new Map<PeerId, KnownMember>();
  /** VMs that were first seen after the last sample. */
  private readonly newMembers = new Set<PeerId>();

  constructor(
    private readonly self: PeerId,
    private readonly clock: Clock,
    private readonly random: Random,
    /** Region of this VM; undefined if the fleet has one region. */
    private readonly region?: string,
  ) {}

  /** Number of VMs that have not expired, including this one. */
  get count(): number {
    this.evictExpired();
    return this.members.size + 1;
  }

  /** Records that a VM sent a message `ageMs` ago. */
  recordMember({ id, ageMs, region }: GossipedMember): void {
    const lastSeenAtMs = this.clock.now() - Math.max(0, ageMs);
    const known = this.members.get(id);
    if (known !== undefined) {
      known.region ??= region;
    }
    if (id === this.self || lastSeenAtMs <= (known?.lastSeenAtMs ?? -Infinity)) {
      return;
    }
    this.members.set(id, { lastSeenAtMs, region: known?.region ?? region });
    if (known === undefined) {
      this.newMembers.add(id);
    }
  }

  /** Sets the region that a VM reports of itself, which overrides the region reported by others. */
  setRegion(id: PeerId, region: string): void {
    const known = this.members.get(id);
    if (known !== undefined) {
      known.region = region;
    }
  }

  /** Removes a VM that belongs to another fleet. */
  remove(id: PeerId): void {
    this.members.delete(id);
    this.newMembers.delete(id);
  }

  /** Records a message that this VM received now. */
  recordContact(id: PeerId): void {
    this.recordMember({ id, ageMs: 0 });
  }

  /** The other VMs that have not expired. */
  list(): PeerId[] {
    return this.listWithRegions().map(({ id }) => id);
  }

  /** The other VMs that sent a message to any VM within that time. */
  listActive(withinMs: Millis): PeerId[] {
    const sinceMs = this.clock.now() - withinMs;
    return [...this.members].flatMap(([id, { lastSeenAtMs }]) =>
      lastSeenAtMs >= sinceMs ? [id] : [],
    );
  }

  /** The other VMs that have not expired, with their regions. */
  listWithRegions(): VmWithRegion[] {
    this.evictExpired();
    return [...this.members].map(([id, { region }]) => ({ id, region }));
  }

  /**
   * Returns members for a heartbeat: each new one once, so that a starting fleet learns of itself
   * within a few rounds, and a random sample of the others.
   */
  sample(): GossipedMember[] {
    const members = this.listGossipable();
    const newMembers = members
      .filter(({ id }) => this.newMembers.has(id))
      .slice(0, MAX_GOSSIPED_MEMBERS);
    const others = members.filter(({ id }) => !this.newMembers.has(id));
    this.newMembers.clear();
    return [...newMembers, ...pickRandomEntries(others, this.sampleSize, this.random)];
  }

  /** Returns members for a peer that may know none. */
  listRecent(): GossipedMember[] {
    return pickRandomEntries(this.listGossipable(), MAX_GOSSIPED_MEMBERS, this.random);
  }

  /** Returns the recent members of one region. */
  listRecentOfRegion(region: string): GossipedMember[] {
    return this.listGossipable().filter((member) => member.region === region);
  }

  private get sampleSize(): number {
    const share = this.region !== undefined ? MULTI_REGION_SAMPLE_SHARE : SAMPLE_SHARE;
    return Math.max(MIN_SAMPLE, Math.floor(this.members.size * share));
  }

  private listGossipable(): GossipedMember[] {
    const now = this.clock.now();
    return [...this.members]
      .map(([id, { lastSeenAtMs, region }]) => ({
        id,
        ageMs: Math.round(now - lastSeenAtMs),
        region,
      }))
      .filter(({ ageMs, region }) => ageMs <= GOSSIP_MAX_AGE_MS * this.ageFactorOf(region));
  }

  private ageFactorOf(region: string | undefined): number {
    const isInOtherRegion = region !== undefined && region !== this.region;
    return isInOtherRegion ? OTHER_REGION_FACTOR : 1;
  }

  private evictExpired(): void {
    const now = this.clock.now();
    for (const [member, { lastSeenAtMs, region }] of this.members) {
      if (lastSeenAtMs < now - EVICT_AFTER_MS * this.ageFactorOf(region)) {
        this.members.delete(member);
      }
    }
  }
}
