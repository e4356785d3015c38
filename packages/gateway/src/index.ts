/** The process of the HTTP front door: start, reload, stop and readiness. */
export { default as toRollOutBounds } from './roll-out-bounds.js';
export { default as formatAddress } from './format-address.js';
export { default as Gateway } from './gateway.js';
export { default as stopOnUncaught } from '@limelead/stop-on-uncaught';
export type { GatewayPlatform } from './gateway.js';
export type { StoreDialect, DecodedStoreItem } from './decoded-store-item.js';
export type { DutyName, DutySettings, GatewaySettings } from './settings.js';
export { default as TargetScheduler } from './target-scheduler.js';
export { default as toPlacementSettings } from './to-placement-settings.js';
export { default as toDutySettings } from './to-duty-settings.js';
