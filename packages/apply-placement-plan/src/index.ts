/** Gives the orders of a placement plan under a lease, whose epoch is their fence. */
export { default as createPlacementController } from './placement-controller.js';
export type {
  PlacementController,
  PlacementControllerOptions,
  PlacementView,
} from './placement-controller.js';
