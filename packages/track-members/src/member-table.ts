/** The other VMs as one VM sees them. */
import type { Millis, Revision, VmId, VmList } from '@limelead/types';

/** A peer that was silent for this long counts as suspect. */
const SUSPECT_AFTER_MS = 3_500;
/** A peer that is neither listed nor heard for this long is forgotten. */
const FORGET_AFTER_MS = 60_000;

/** Where a peer stands. */
export type MemberState = 'alive' | 'suspect' | 'leaving';

/** One VM of the system. */
export interface Member {
  id: VmId;
  /** IP number and port for links between VMs. */
  host: string;
  port: number;
  failureDomain: string;
  /** Unique to a start of the VM's process; empty until it was heard. */
  incarnation: string;
  revision: Revision;
  /** Said by the list or by the VM itself. */
  leaving: boolean;
  isListed: boolean;
  /** Time of the last heartbeat; undefined where none was heard. */
  lastHeartbeatAtMs?: Millis;
}

/** What a heartbeat says of its sender. */
export interface MemberHeartbeat {
  id: VmId;
  host: string;
  port: number;
  failureDomain: string;
  incarnation: string;
  revision: Revision;
  leaving: boolean;
}

/** The table of one VM; it does not hold the VM itself. */
export interface MemberTable {
  /** Peers named in the settings, known before anything is heard. */
  addSeed(seed: Pick<Member, 'id' | 'host' | 'port'>): void;
  applyVmList(list: VmList, now: Millis): void;
  applyHeartbeat(facts: MemberHeartbeat, now: Millis): void;
  /** The link to a peer broke. */
  onLinkLost(id: VmId): void;
  stateOf(member: Member, now: Millis): MemberState;
  find(id: VmId): Member | undefined;
  findByIncarnation(incarnation: string): Member | undefined;
  list(): Member[];
  /** Peers that are not known to be leaving or lost; a peer never heard is given the benefit. */
  listAvailable(now: Millis): Member[];
}

/** Creates an empty table. */
export default function createMemberTable(self: VmId): MemberTable {
  const members = new Map<VmId, Member>();

  function upsert(id: VmId, change: Partial<Member>): void {
    if (id !== self) {
      const known = members.get(id) ?? createMember(id);
      members.set(id, { ...known, ...change });
    }
  }

  function stateOf(member: Member, now: Millis): MemberState {
    if (member.leaving) {
      return 'leaving';
    }
    const isHeard =
      member.lastHeartbeatAtMs !== undefined && now - member.lastHeartbeatAtMs <= SUSPECT_AFTER_MS;
    return isHeard ? 'alive' : 'suspect';
  }

  function applyList(list: VmList, now: Millis): void {
    const listed = list.vms.filter(({ role }) => role === 'entry');
    const ids = new Set(listed.map(({ id }) => id));
    for (const member of members.values()) {
      member.isListed = ids.has(member.id);
    }
    for (const { id, host, port, failureDomain, leaving } of listed) {
      upsert(id, { host, port, failureDomain, leaving, isListed: true });
    }
    forgetUnheard(now);
  }

  function forgetUnheard(now: Millis): void {
    for (const member of members.values()) {
      const heardAtMs = member.lastHeartbeatAtMs ?? Number.NEGATIVE_INFINITY;
      if (
        !member.isListed &&
        member.lastHeartbeatAtMs !== undefined &&
        now - heardAtMs > FORGET_AFTER_MS
      ) {
        members.delete(member.id);
      }
    }
  }

  return {
    applyVmList: applyList,
    stateOf,
    addSeed: ({ id, host, port }) => upsert(id, { host, port }),
    applyHeartbeat: ({ id, ...facts }, now) => upsert(id, { ...facts, lastHeartbeatAtMs: now }),
    onLinkLost: (id) => {
      if (members.has(id)) {
        upsert(id, { lastHeartbeatAtMs: Number.NEGATIVE_INFINITY });
      }
    },
    find: (id) => members.get(id),
    findByIncarnation: (incarnation) =>
      [...members.values()].find((member) => member.incarnation === incarnation),
    list: () => [...members.values()],
    listAvailable: (now) =>
      [...members.values()].filter(
        (member) =>
          !member.leaving &&
          (member.lastHeartbeatAtMs === undefined || stateOf(member, now) === 'alive'),
      ),
  };
}

function createMember(id: VmId): Member {
  return {
    id,
    host: '',
    port: 0,
    failureDomain: '',
    incarnation: '',
    revision: 0,
    leaving: false,
    isListed: false,
  };
}
