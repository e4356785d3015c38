/**
 * Classifies how near a target, a replica or a peer is: own failure domain, own region or another
 * region.
 */
export { default as createLocality } from './locality.js';
export type { Locality, LocalityPrices, LocalitySettings, Nearness } from './locality.js';
