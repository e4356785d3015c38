/** How near a target, a copy or a peer is: own failure domain, own region or another one. */
export { default as createLocality } from './locality.js';
export type { Locality, LocalityPrices, LocalitySettings, Nearness } from './locality.js';
