/** Sends the orders of a placement plan under a lease, fenced by the lease's epoch. */
export { default as createPlacementController } from './placement-controller.js';
export type {
  PlacementController,
  PlacementControllerOptions,
  PlacementView,
} from './placement-controller.js';
