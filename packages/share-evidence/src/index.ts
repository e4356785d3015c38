/** Exchanges load, losses, members, permits, reports and store items between VMs. */
export { default as PeerExchange } from './peer-exchange.js';
export { choosePartition } from './choose-schedulers.js';
export type { PeerReport } from './report-messages.js';
export { roundTokens } from './load-tokens.js';
export type {
  PeerExchangeOptions,
  PeerId,
  StoreSyncState,
  StoreUpdate,
  SchedulerAnswer,
  TargetLoad,
  SchedulerRequest,
} from './types.js';
