/** What VMs of the HTTP front door tell each other. */
export { default as EvidenceExchange } from './evidence-exchange.js';
export type {
  EvidenceExchangeOptions,
  PeerId,
  StoreKnowledge,
  StoreUpdate,
  TargetLoad,
} from './types.js';
