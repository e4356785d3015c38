/** Which VMs are alive, as seen from heartbeats and the list of VMs; which peers to link to. */
export { default as createMemberTable } from './member-table.js';
export type { Member, MemberState, MemberTable, HeartbeatFacts } from './member-table.js';
export { default as chooseLinks } from './choose-links.js';
export { default as chooseWatchers, rankVms } from './choose-watchers.js';
