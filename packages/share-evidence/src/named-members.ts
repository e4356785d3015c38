/** Members of a heartbeat with the regions in which they are. */
import type { MemberAge } from './member-book.js';

/** Members as a heartbeat names them; the last two are left out where the fleet is in one region. */
export interface NamedMembers {
  /** Those of the sender's region. */
  members: MemberAge[];
  /** Region of the sender. */
  region?: string;
  /** Those of other regions, by region. */
  elsewhere?: Record<string, MemberAge[]>;
}

/** Gives what to send; in a fleet of several regions, VMs whose region is not known are left out. */
export function nameMembers(members: MemberAge[], region: string | undefined): NamedMembers {
  if (region === undefined) {
    return { members };
  }
  const elsewhere: Record<string, MemberAge[]> = {};
  for (const member of members) {
    if (member.region !== undefined && member.region !== region) {
      (elsewhere[member.region] ??= []).push(member);
    }
  }
  return { region, members: members.filter((member) => member.region === region), elsewhere };
}

/** Gives the members that a heartbeat named. */
export function readNamedMembers({ members, region, elsewhere = {} }: NamedMembers): MemberAge[] {
  const near = members.map((member) => ({ ...member, region }));
  const distant = Object.entries(elsewhere).flatMap(([name, others]) =>
    others.map((member) => ({ ...member, region: name })),
  );
  return [...near, ...distant];
}
