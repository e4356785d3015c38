/** Pure decision: whether a VM leaves most tries of a store that is away to others. */

/** What the decision rests on. */
export interface TrySituation {
  isLarge: boolean;
  /** Others rely on this VM to follow the store. */
  followsForOthers: boolean;
  /** Peers linked now, which tell when the store is back. */
  peers: number;
  /** A configuration that is too large to be passed on waits in the store. */
  wantsLargeConfiguration: boolean;
}

/** True where others try as well, and can tell this VM all that it needs. */
export default function mayLeaveTries(situation: TrySituation): boolean {
  const { isLarge, followsForOthers, peers, wantsLargeConfiguration } = situation;
  return isLarge && !followsForOthers && peers > 0 && !wantsLargeConfiguration;
}
