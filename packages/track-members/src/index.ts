/**
 * Tracks which VMs are alive from heartbeats and the list of VMs, and selects the peers to link to.
 */
export { default as createMemberTable } from './member-table.js';
export type { Member, MemberState, MemberTable, MemberHeartbeat } from './member-table.js';
export { default as chooseLinks } from './choose-links.js';
export {
  default as chooseConfigurationWatchers,
  rankVms,
} from './choose-configuration-watchers.js';
