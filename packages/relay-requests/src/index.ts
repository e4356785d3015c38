/** Relays requests between VMs. */
export { default as createHelperDialect } from './helper-dialect.js';
export {
  composeRefusalHeaders,
  readRelayKind,
  withoutRelayHeader,
  type RelayKind,
} from './relay-protocol.js';
export { default as RequestRelayer, type RequestRelayerOptions } from './request-relayer.js';
