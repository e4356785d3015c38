/** Memberships of a whole fleet on a clock of its own, for the tests of this package. */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { MemberAge } from './member-book.js';
import Membership from './membership.js';
import { nameMembers, readNamedMembers } from './named-members.js';

const ROUND_MS = 1_000;
const SECOND_ROUND_MS = 400;
/** VMs of one fleet start within this time of each other. */
const STARTS_WITHIN_MS = 300;
const SEEDS = 3;

/** A fleet whose links come up at once, on a clock of its own. */
export class Fleet {
  readonly vms = new Map<string, FleetVm>();
  readonly ids: string[];
  readonly seeds: string[];
  now = 0;
  /** Whether nothing passes between two VMs. */
  isCut: (a: string, b: string) => boolean = () => false;
  private readonly due = new Map<number, (() => void)[]>();
  private readonly generator = xoroshiro128plus(11);
  readonly random = { next: () => uniformFloat64(this.generator) };

  /** @param regionOf region of the VM of that number; undefined where all are in one */
  constructor(
    size: number,
    readonly regionOf: (index: number) => string | undefined = () => undefined,
  ) {
    this.ids = Array.from({ length: size }, (_, index) => `10.${index % 5}.0.${index}:7200`);
    this.seeds = this.ids.slice(0, SEEDS);
    this.ids.forEach((id, index) => {
      const startMs = Math.floor(this.random.next() * STARTS_WITHIN_MS);
      this.at(startMs, () => this.vms.set(id, new FleetVm(this, id, regionOf(index))));
    });
  }

  /** Another process takes the VM's place, and knows nothing. */
  restart(vm: FleetVm): FleetVm {
    vm.stop();
    const next = new FleetVm(this, vm.id, vm.region);
    this.vms.set(vm.id, next);
    return next;
  }

  at(atMs: number, run: () => void): void {
    const due = this.due.get(atMs) ?? [];
    due.push(run);
    this.due.set(atMs, due);
  }

  /** Plays in steps of a millisecond, in which things happen in the order they were due. */
  playUntil(untilMs: number): void {
    for (; this.now <= untilMs; this.now += 1) {
      for (let run = this.due.get(this.now)?.shift(); run; run = this.due.get(this.now)?.shift()) {
        run();
      }
      this.due.delete(this.now);
    }
  }
}

export class FleetVm {
  readonly membership: Membership;
  readonly linked = new Set<string>();
  readonly openedNow = new Set<string>();
  /** What it noticed of other regions. */
  readonly regions: string[] = [];
  private isStopped = false;
  /** Links opened, and members named to peers, since the start. */
  opened = 0;
  named = 0;

  constructor(
    private readonly fleet: Fleet,
    readonly id: string,
    readonly region: string | undefined,
  ) {
    this.membership = new Membership({
      self: id,
      region,
      seeds: fleet.seeds,
      clock: { now: () => fleet.now },
      random: fleet.random,
      onRegion: ({ region: other, isInSight }) => this.regions.push(`${other} ${isInSight}`),
      links: {
        open: (peers) => peers.forEach((peer) => this.open(peer.id)),
        opened: () => [...this.openedNow],
        linked: () => [...this.linked],
        drop: (peer) => this.drop(peer),
      },
    });
    this.beat(SECOND_ROUND_MS);
  }

  stop(): void {
    this.isStopped = true;
    [...this.linked].forEach((peer) => this.drop(peer));
    this.fleet.vms.forEach((other) => other.drop(this.id));
  }

  private beat(nextMs = ROUND_MS): void {
    if (this.isStopped) {
      return;
    }
    [...this.linked].filter((peer) => this.fleet.isCut(this.id, peer)).forEach((p) => this.drop(p));
    const members = this.membership.tend();
    this.linked.forEach(
      (peer) => this.gossips(peer) && this.name(peer, this.namesFor(peer, members)),
    );
    this.fleet.at(this.fleet.now + nextMs, () => this.beat());
  }

  /** A peer in another region is named the whole region, as `Gossip` does. */
  private namesFor(peer: string, members: MemberAge[]): MemberAge[] {
    return this.membership.isDistant(peer)
      ? [...members, ...this.membership.nameRegion()]
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
    this.greet(peer);
    other.greet(this.id);
  }

  private greet(peer: string): void {
    this.linked.add(peer);
    this.membership.hearFrom(peer);
    this.fleet.at(
      this.fleet.now,
      () => this.gossips(peer) && this.name(peer, this.membership.nameAll()),
    );
  }

  /** Members are named over links that one of both ends chose for gossip. */
  gossips(peer: string): boolean {
    const other = this.fleet.vms.get(peer);
    return this.membership.isChosenPeer(peer) || other?.membership.isChosenPeer(this.id) === true;
  }

  drop(peer: string): void {
    this.openedNow.delete(peer);
    this.linked.delete(peer);
    this.fleet.vms.get(peer)?.linked.delete(this.id);
  }

  private name(peer: string, members: MemberAge[]): void {
    const other = this.fleet.vms.get(peer);
    if (other !== undefined && this.linked.has(peer)) {
      this.named += members.length;
      other.membership.hearFrom(this.id);
      const named = readNamedMembers(nameMembers(members, this.region));
      other.membership.locate(this.id, this.region);
      other.membership.hear(named, this.membership.listHidden());
    }
  }
}
