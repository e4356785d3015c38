/**
 * Places in use at the targets of a service, counted for each VM. A grant counts until the VM
 * releases the place or reports its calls in progress after it received the grant.
 */
import type { Millis } from '@limelead/types';
import type { CallsInProgress } from './queue-messages.js';

/** Time after which a grant that no report includes is taken as lost. */
const RECLAIM_MS: Millis = 500;

interface Grant {
  /** Number of the message that carried the grant. */
  number: number;
  want: number;
  target: string;
  atMs: Millis;
}

interface VmPlaces {
  /** Calls in progress by target, as reported. */
  known: Map<string, number>;
  /** Grants that the last report did not include yet; oldest first. */
  grants: Grant[];
}

/** Counts the places that all VMs use. */
export default class PlacesInUse {
  private readonly vms = new Map<string, VmPlaces>();

  /** Number of places in use at each target. */
  countByTarget(): Map<string, number> {
    const counts = new Map<string, number>();
    for (const { known, grants } of this.vms.values()) {
      for (const [target, calls] of known) {
        counts.set(target, (counts.get(target) ?? 0) + calls);
      }
      for (const { target } of grants) {
        counts.set(target, (counts.get(target) ?? 0) + 1);
      }
    }
    return counts;
  }

  /** Records a grant in the message of that number to the VM. */
  recordGrant(vm: string, grant: Grant): void {
    this.open(vm).grants.push(grant);
  }

  /**
   * Whether a call got a place by a grant that the VM had not received yet.
   * @param received number of the last message of grants that the VM had received
   */
  isGranted(vm: string, want: number, received: number): boolean {
    const grants = this.vms.get(vm)?.grants ?? [];
    return grants.some((grant) => grant.want === want && grant.number > received);
  }

  /** Ends the use of one place. */
  release(vm: string, target: string): void {
    const places = this.vms.get(vm);
    if (places === undefined) {
      return;
    }
    const calls = places.known.get(target) ?? 0;
    if (calls > 1) {
      places.known.set(target, calls - 1);
      return;
    }
    if (!places.known.delete(target)) {
      const index = places.grants.findIndex((grant) => grant.target === target);
      if (index >= 0) {
        places.grants.splice(index, 1);
      }
    }
    this.dropIfIdle(vm, places);
  }

  /**
   * Replaces the calls in progress of a VM.
   * @param received number of the last message of grants that the report includes
   */
  report(vm: string, inFlight: CallsInProgress, received: number, now: Millis): void {
    const places = this.open(vm);
    places.known = new Map(inFlight);
    this.recordReceived(vm, received);
    places.grants = places.grants.filter(({ atMs }) => now - atMs < RECLAIM_MS);
    this.dropIfIdle(vm, places);
  }

  /** Drops grants that no report of their VM included in time. */
  reclaim(now: Millis): void {
    for (const places of this.vms.values()) {
      if (places.grants.some(({ atMs }) => now - atMs >= RECLAIM_MS)) {
        places.grants = places.grants.filter(({ atMs }) => now - atMs < RECLAIM_MS);
      }
    }
  }

  /** Ends all places of a VM. */
  forget(vm: string): void {
    this.vms.delete(vm);
  }

  /** Ends all places at targets that are not listed. */
  retain(targets: ReadonlySet<string>): void {
    for (const places of this.vms.values()) {
      for (const target of places.known.keys()) {
        if (!targets.has(target)) {
          places.known.delete(target);
        }
      }
      if (places.grants.some(({ target }) => !targets.has(target))) {
        places.grants = places.grants.filter(({ target }) => targets.has(target));
      }
    }
  }

  /** Each decision passes over all VMs, so idle ones are left out. */
  private dropIfIdle(vm: string, { known, grants }: VmPlaces): void {
    if (known.size === 0 && grants.length === 0) {
      this.vms.delete(vm);
    }
  }

  private recordReceived(vm: string, received: number): void {
    const places = this.open(vm);
    places.grants = places.grants.filter(({ number }) => number > received);
  }

  private open(vm: string): VmPlaces {
    const known = this.vms.get(vm);
    if (known !== undefined) {
      return known;
    }
    const created = { known: new Map<string, number>(), grants: [] };
    this.vms.set(vm, created);
    return created;
  }
}
