/** What VMs of the HTTP front door tell each other. */
export { default as EvidenceExchange } from './evidence-exchange.js';
export { choosePart } from './choose-schedulers.js';
export type { PeerReport } from './report-messages.js';
export type {
  EvidenceExchangeOptions,
  PeerId,
  StoreKnowledge,
  StoreUpdate,
  TargetAnswer,
  TargetLoad,
  TargetQuestion,
} from './types.js';
