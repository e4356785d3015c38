/** Creates the parts that settings and configuration ask for. */
import type { FleetPart, FleetPartContext } from './fleet-part.js';

/** Gives the parts; none where nothing asks for any. */
export default function createFleetParts(_context: FleetPartContext): FleetPart[] {
  return [];
}
