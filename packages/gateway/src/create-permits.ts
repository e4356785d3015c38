/** Joins the permits to send with the targets that are known and the conversation with peers. */
import { SendPermits } from '@limelead/permit-sends';
import type { FleetPartContext } from './fleet-part.js';

/** A VM that has no address for peers grants its permits itself. */
const ALONE = 'this VM';

/** Creates them. */
export default function createPermits({
  clock,
  timers,
  random,
  log,
  metrics,
  directory,
  readExchange,
}: FleetPartContext): SendPermits {
  const readFleet = () => readExchange()?.permits;
  return new SendPermits({
    ...{ clock, timers, random, log, metrics },
    fleet: {
      get self() {
        return readFleet()?.self ?? ALONE;
      },
      countVms: () => readFleet()?.totalVmCount ?? 1,
      countReached: () => readFleet()?.reachableCount ?? 1,
      chooseGrantor: (service) => {
        const fleet = readFleet();
        return fleet === undefined ? ALONE : fleet.chooseGrantor(service);
      },
      send: (vm, message) => readFleet()?.send(vm, message),
      publishLimits: (facts, from) => readFleet()?.publishLimits(facts, from),
      sendLimitCorrection: (vm, facts) => readFleet()?.sendLimitCorrection(vm, facts),
    },
    targets: {
      serviceOf: (target) => directory.get(target)?.target.service,
      listUsable: (service) => directory.listUsable(service).map(({ target }) => target.id),
    },
  });
}
