/** Gives the orders of a placement plan under a lease, whose epoch is their fence. */
export { default as createPlacementDoer } from './placement-doer.js';
export type { PlacementDoer, PlacementDoerDependencies, PlacementView } from './placement-doer.js';
