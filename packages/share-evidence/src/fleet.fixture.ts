/** Simulates the memberships of a whole fleet on a manual clock. */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { GossipedMember } from './member-registry.js';
import Membership from './membership.js';
import { toHeartbeatMembers, fromHeartbeatMembers } from './heartbeat-members.js';

const ROUND_MS = 1_000;
const SECOND_ROUND_MS = 400;
/** Maximum delay between the starts of two VMs of a fleet. */
const MAX_START_DELAY_MS = 300;
const SEEDS = 3;

/** A fleet on a manual clock; its links are up as soon as they are opened. */
export class SimulatedFleet {
  readonly vms = new Map<string, SimulatedVm>();
  readonly ids: string[];
  readonly seeds: string[];
  now = 0;
  /** Whether the connection between two VMs is cut. */
  isCut: (a: string, b: string) => boolean = () => false;
  private readonly due = new Map<number, (() => void)[]>();
  private readonly generator = xoroshiro128plus(11);
  readonly random = { next: () => uniformFloat64(this.generator) };

  /** @param regionOf region of the VM with that index; undefined if the fleet has one region */
  constructor(
    size: number,
    readonly regionOf: (index: number) => string | undefined = () => undefined,
  ) {
    this.ids = Array.from({ length: size }, (_, index) => `10.${index % 5}.0.${index}:7200`);
    this.seeds = this.ids.slice(0, SEEDS);
    this.ids.forEach((id, index) => {
      const startMs = Math.floor(this.random.next() * MAX_START_DELAY_MS);
      this.schedule(startMs, () => this.vms.set(id, new SimulatedVm(this, id, regionOf(index))));
    });
  }

  /** Replaces a VM by a new process without any state. */
  restart(vm: SimulatedVm): SimulatedVm {
    vm.stop();
    const next = new SimulatedVm(this, vm.id, vm.region);
    this.vms.set(vm.id, next);
    return next;
  }

  schedule(atMs: number, run: () => void): void {
    const due = this.due.get(atMs) ?? [];
    due.push(run);
    this.due.set(atMs, due);
  }

  /**
   * Advances the clock in steps of one millisecond and runs callbacks in the order in which they
   * were scheduled.
   */
  advanceTo(untilMs: number): void {
    for (; this.now <= untilMs; this.now += 1) {
      for (let run = this.due.get(this.now)?.shift(); run; run = this.due.get(this.now)?.shift()) {
        run();
      }
      this.due.delete(this.now);
    }
  }
}

export class SimulatedVm {
  readonly membership: Membership;
  readonly linked = new Set<string>();
  readonly openedNow = new Set<string>();
  /** Changes of other regions that this VM reported. */
  readonly regionChanges: string[] = [];
  private isStopped = false;
  /** Links opened, and members sent to peers, since the start. */
  opened = 0;
  sentMembers = 0;

  constructor(
    private readonly fleet: SimulatedFleet,
    readonly id: string,
    readonly region: string | undefined,
  ) {
    this.membership = new Membership({
      self: id,
      region,
      seeds: fleet.seeds,
      clock: { now: () => fleet.now },
      random: fleet.random,
      onRegionChange: ({ region: other, isReachable }) =>
        this.regionChanges.push(`${other} ${isReachable}`),
      links: {
        open: (peers) => peers.forEach((peer) => this.open(peer.id)),
        listOpened: () => [...this.openedNow],
        listLinked: () => [...this.linked],
        disconnect: (peer) => this.drop(peer),
      },
    });
    this.runRound(SECOND_ROUND_MS);
  }

  stop(): void {
    this.isStopped = true;
    [...this.linked].forEach((peer) => this.drop(peer));
    this.fleet.vms.forEach((other) => other.drop(this.id));
  }

  private runRound(nextMs = ROUND_MS): void {
    if (this.isStopped) {
      return;
    }
    [...this.linked].filter((peer) => this.fleet.isCut(this.id, peer)).forEach((p) => this.drop(p));
    const members = this.membership.runRound();
    this.linked.forEach(
      (peer) =>
        this.sharesGossipWith(peer) && this.sendMembers(peer, this.selectMembers(peer, members)),
    );
    this.fleet.schedule(this.fleet.now + nextMs, () => this.runRound());
  }

  /** Adds all members of the own region for a peer in another region, as `Gossip` does. */
  private selectMembers(peer: string, members: GossipedMember[]): GossipedMember[] {
    return this.membership.isInOtherRegion(peer)
      ? [...members, ...this.membership.listRegionMembers()]
      : members;
  }

  private open(peer: string): void {
    const other = this.fleet.vms.get(peer);
    if (other === undefined || peer === this.id || this.linked.has(peer)) {
      return;
    }
    if (this.fleet.isCut(this.id, peer)) {
      return;
    }
    this.opened += 1;
    this.openedNow.add(peer);
    this.connect(peer);
    other.connect(this.id);
  }

  private connect(peer: string): void {
    this.linked.add(peer);
    this.membership.recordContact(peer);
    this.fleet.schedule(
      this.fleet.now,
      () => this.sharesGossipWith(peer) && this.sendMembers(peer, this.membership.listAllMembers()),
    );
  }

  /** Members are sent over links that at least one end chose for gossip. */
  sharesGossipWith(peer: string): boolean {
    const other = this.fleet.vms.get(peer);
    return this.membership.isChosenPeer(peer) || other?.membership.isChosenPeer(this.id) === true;
  }

  drop(peer: string): void {
    this.openedNow.delete(peer);
    this.linked.delete(peer);
    this.fleet.vms.get(peer)?.linked.delete(this.id);
  }

  private sendMembers(peer: string, members: GossipedMember[]): void {
    const other = this.fleet.vms.get(peer);
    if (other !== undefined && this.linked.has(peer)) {
      this.sentMembers += members.length;
      other.membership.recordContact(this.id);
      const received = fromHeartbeatMembers(toHeartbeatMembers(members, this.region));
      other.membership.setRegion(this.id, this.region);
      other.membership.onMembersReceived(received, this.membership.listUnreachableRegions());
    }
  }
}
