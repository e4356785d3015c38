/** Creates the parts that settings and configuration ask for. */
import createCapacity from './capacity.js';
import createDutyPart from './duty-part.js';
import type { FleetPart, FleetPartContext } from './fleet-part.js';
import createRollOutPart from './roll-outs.js';
import createUsagePart from './usage-part.js';

/** Gives the parts; roll-outs are always followed. */
export default function createFleetParts(context: FleetPartContext): FleetPart[] {
  const { settings, platform, log } = context;
  const { duties, unknownDuties = [] } = settings;
  if (unknownDuties.length > 0) {
    log.write('duties-unknown', { names: unknownDuties });
  }
  const { dutyPlatform } = platform;
  if (duties === undefined || dutyPlatform === undefined) {
    return [createRollOutPart(context, undefined)];
  }
  const dutyPart = createDutyPart(context, duties);
  const { duty } = dutyPart;
  const parts: FleetPart[] = [dutyPart, createRollOutPart(context, duty)];
  if (duties.duties.includes('usage')) {
    parts.push(createUsagePart(context, { duties, dutyPart, dutyPlatform }));
  }
  if (duties.duties.includes('capacity')) {
    parts.push(createCapacity(context, { duties, duty, dutyPlatform }));
  }
  return parts;
}
