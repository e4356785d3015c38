/** Members of a heartbeat with the regions in which they are. */
import type { MemberAge } from './member-book.js';

/** Members as a heartbeat names them; only the first is there where the fleet is in one region. */
export interface NamedMembers {
  /** All of them, for VMs of a release that knows no regions as well. */
  members: MemberAge[];
  /** Region of the sender. */
  region?: string;
  /** Regions of the members. */
  regions?: string[];
  /** For each member its place in `regions`; `UNKNOWN_REGION` where nobody told it. */
  regionOf?: number[];
}

const UNKNOWN_REGION = -1;

/** Gives what to send from a VM of that region. */
export function nameMembers(members: MemberAge[], region: string | undefined): NamedMembers {
  if (region === undefined) {
    return { members };
  }
  const regions = [...new Set(members.flatMap((member) => member.region ?? []))];
  const regionOf = members.map((member) =>
    member.region === undefined ? UNKNOWN_REGION : regions.indexOf(member.region),
  );
  return { members, region, regions, regionOf };
}

/** Gives the members that a heartbeat named. */
export function readNamedMembers({ members, regions, regionOf }: NamedMembers): MemberAge[] {
  return members.map((member, index) => ({
    ...member,
    region: regions?.[regionOf?.[index] ?? UNKNOWN_REGION],
  }));
}
