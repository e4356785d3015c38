/** The process of the HTTP front door. */
export { default as Gateway } from './gateway.js';
export type { GatewayPlatform, StoreDialect, StoreFact } from './gateway.js';
export type { GatewaySettings } from './settings.js';
export type { ListenAddress } from './readiness-server.js';
