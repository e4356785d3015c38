/** Creates the parts that settings and configuration ask for. */
import createCapacityComponent from './capacity-component.js';
import createDutyComponent from './duty-component.js';
import type { FleetComponent, FleetComponentContext } from './fleet-component.js';
import createRollOutComponent from './roll-out-component.js';
import createUsageComponent from './usage-component.js';

/** Gives the parts; roll-outs are always followed. */
export default function createFleetComponents(context: FleetComponentContext): FleetComponent[] {
  const { settings, platform, log } = context;
  const { duties, unknownDuties = [] } = settings;
  if (unknownDuties.length > 0) {
    log.write('duties-unknown', { names: unknownDuties });
  }
  const { dutyPlatform } = platform;
  if (duties === undefined || dutyPlatform === undefined) {
    return [createRollOutComponent(context, undefined)];
  }
  const dutyPart = createDutyComponent(context, duties);
  const { duty } = dutyPart;
  const parts: FleetComponent[] = [dutyPart, createRollOutComponent(context, duty)];
  if (duties.duties.includes('usage')) {
    parts.push(createUsageComponent(context, { duties, dutyComponent: dutyPart, dutyPlatform }));
  }
  if (duties.duties.includes('capacity')) {
    parts.push(createCapacityComponent(context, { duties, duty, dutyPlatform }));
  }
  return parts;
}
