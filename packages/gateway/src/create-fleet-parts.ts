/** Creates the parts that settings and configuration ask for. */
import createDutyPart from './duty-part.js';
import type { FleetPart, FleetPartContext } from './fleet-part.js';

/** Gives the parts; none where nothing asks for any. */
export default function createFleetParts(context: FleetPartContext): FleetPart[] {
  const { duties } = context.settings;
  if (duties === undefined) {
    return [];
  }
  return [createDutyPart(context, duties)];
}
