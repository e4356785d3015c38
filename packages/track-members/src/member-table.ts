/** Table of the other VMs as one VM sees them. */
import type { Millis, Revision, VmId, VmList } from '@limelead/types';

/** Time without a heartbeat after which a peer counts as suspect. */
const SUSPECT_AFTER_MS = 3_500;
/** Time without a heartbeat after which an unlisted peer is removed. */
const FORGET_AFTER_MS = 60_000;

/** State of a peer; `suspect` includes peers without any heartbeat. */
export type MemberState = 'alive' | 'suspect' | 'leaving';

/** One VM of the fleet. */
export interface Member {
  id: VmId;
  /** IP address and port for links between VMs. */
  host: string;
  port: number;
  failureDomain: string;
  /** Unique to each start of the VM's process; empty before the first heartbeat. */
  incarnation: string;
  revision: Revision;
  /** Reported by the list or by the VM itself. */
  leaving: boolean;
  isListed: boolean;
  /** Time of the last heartbeat; undefined before the first. */
  lastHeartbeatAtMs?: Millis;
}

/** The content of a heartbeat. */
export interface MemberHeartbeat {
  id: VmId;
  host: string;
  port: number;
  failureDomain: string;
  incarnation: string;
  revision: Revision;
  leaving: boolean;
}

/** Table of one VM; it does not include the VM itself. */
export interface MemberTable {
  /** Adds a peer from the settings, which is known before any heartbeat. */
  addSeed(seed: Pick<Member, 'id' | 'host' | 'port'>): void;
  applyVmList(list: VmList, now: Millis): void;
  applyHeartbeat(heartbeat: MemberHeartbeat, now: Millis): void;
  /** Marks a peer as suspect after its link was lost. */
  onLinkLost(id: VmId): void;
  stateOf(member: Member, now: Millis): MemberState;
  find(id: VmId): Member | undefined;
  findByIncarnation(incarnation: string): Member | undefined;
  list(): Member[];
  /** Peers that are not leaving or suspect; includes peers without any heartbeat so far. */
  present(now: Millis): Member[];
}

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
    const isAlive =
      member.lastHeartbeatAtMs !== undefined && now - member.lastHeartbeatAtMs <= SUSPECT_AFTER_MS;
    return isAlive ? 'alive' : 'suspect';
  }

  function applyVmList(list: VmList, now: Millis): void {
    const listed = list.vms.filter(({ role }) => role === 'entry');
    const ids = new Set(listed.map(({ id }) => id));
    for (const member of members.values()) {
      member.isListed = ids.has(member.id);
    }
    for (const { id, host, port, failureDomain, leaving } of listed) {
      upsert(id, { host, port, failureDomain, leaving, isListed: true });
    }
    forgetExpired(now);
  }

  function forgetExpired(now: Millis): void {
    for (const member of members.values()) {
      const lastHeartbeatAtMs = member.lastHeartbeatAtMs ?? Number.NEGATIVE_INFINITY;
      if (
        !member.isListed &&
        member.lastHeartbeatAtMs !== undefined &&
        now - lastHeartbeatAtMs > FORGET_AFTER_MS
      ) {
        members.delete(member.id);
      }
    }
  }

  return {
    applyVmList,
    stateOf,
    addSeed: ({ id, host, port }) => upsert(id, { host, port }),
    applyHeartbeat: ({ id, ...fields }, now) => upsert(id, { ...fields, lastHeartbeatAtMs: now }),
    onLinkLost: (id) => {
      if (members.has(id)) {
        upsert(id, { lastHeartbeatAtMs: Number.NEGATIVE_INFINITY });
      }
    },
    find: (id) => members.get(id),
    findByIncarnation: (incarnation) =>
      [...members.values()].find((member) => member.incarnation === incarnation),
    list: () => [...members.values()],
    present: (now) =>
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
