/** Creates the fleet-wide components that the settings enable. */
import createCapacityComponent from './capacity-component.js';
import createDutyComponent from './duty-component.js';
import type { FleetComponent, FleetComponentContext } from './fleet-component.js';
import createRollOutComponent from './roll-out-component.js';
import createUsageComponent from './usage-component.js';

/** The roll-out component is always created; the others depend on the settings. */
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
  const dutyComponent = createDutyComponent(context, duties);
  const { duty } = dutyComponent;
  const components: FleetComponent[] = [dutyComponent, createRollOutComponent(context, duty)];
  if (duties.duties.includes('usage')) {
    components.push(createUsageComponent(context, { duties, dutyComponent, dutyPlatform }));
  }
  if (duties.duties.includes('capacity')) {
    components.push(createCapacityComponent(context, { duties, duty, dutyPlatform }));
  }
  return components;
}
