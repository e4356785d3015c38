/** The process of the HTTP front door. */
export { default as toRollOutBounds } from './roll-out-bounds.js';
export { default as formatAddress } from './format-address.js';
export { default as Gateway } from './gateway.js';
export type { GatewayPlatform } from './gateway.js';
export type { StoreDialect, DecodedStoreItem as StoreFact } from './store-view.js';
export type { DutyName, DutySettings, GatewaySettings } from './settings.js';
