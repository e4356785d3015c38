/** Members of a heartbeat with their regions. */
import type { GossipedMember } from './member-registry.js';

/**
 * The fields of a heartbeat that list members; only `members` is set if the fleet has one region.
 */
export interface HeartbeatMembers {
  /** All members, also for releases that do not know regions. */
  members: GossipedMember[];
  /** Region of the sender. */
  region?: string;
  /** Regions of the members. */
  regions?: string[];
  /** For each member the index of its region in `regions`, or `UNKNOWN_REGION`. */
  regionOf?: number[];
}

const UNKNOWN_REGION = -1;

/** Returns the fields that a VM in `region` sends. */
export function toHeartbeatMembers(
  members: GossipedMember[],
  region: string | undefined,
): HeartbeatMembers {
  if (region === undefined) {
    return { members };
  }
  const regions = [...new Set(members.flatMap((member) => member.region ?? []))];
  const regionOf = members.map((member) =>
    member.region === undefined ? UNKNOWN_REGION : regions.indexOf(member.region),
  );
  return { members, region, regions, regionOf };
}

/** Returns the members that a heartbeat lists. */
export function fromHeartbeatMembers({
  members,
  regions,
  regionOf,
}: HeartbeatMembers): GossipedMember[] {
  return members.map((member, index) => ({
    ...member,
    region: regions?.[regionOf?.[index] ?? UNKNOWN_REGION],
  }));
}
