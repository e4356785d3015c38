/** Creates the parts that settings and configuration ask for. */
import createDutyPart from './duty-part.js';
import type { FleetPart, FleetPartContext } from './fleet-part.js';
import createUsagePart from './usage-part.js';

/** Gives the parts; none where nothing asks for any. */
export default function createFleetParts(context: FleetPartContext): FleetPart[] {
  const { settings, platform, log } = context;
  const { duties, unknownDuties = [] } = settings;
  if (unknownDuties.length > 0) {
    log.write('duties-unknown', { names: unknownDuties });
  }
  const { dutyPlatform } = platform;
  if (duties === undefined || dutyPlatform === undefined) {
    return [];
  }
  const dutyPart = createDutyPart(context, duties);
  const { duty } = dutyPart;
  const parts: FleetPart[] = [dutyPart];
  if (duties.duties.includes('usage')) {
    parts.push(createUsagePart(context, { duties, duty, dutyPlatform }));
  }
  return parts;
}
