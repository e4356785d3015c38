/** Connects send permits to the target directory and to the exchange with peers. */
import { SendLimiter } from '@limelead/permit-sends';
import type { FleetComponentContext } from './fleet-component.js';

/** Grantor of a VM without a peer address: it grants its permits itself. */
const LOCAL_GRANTOR = 'this VM';

/** Creates the send permits of one VM. */
export default function createPermits({
  clock,
  timers,
  random,
  log,
  metrics,
  directory,
  readExchange,
}: FleetComponentContext): SendLimiter {
  const readFleet = () => readExchange()?.permits;
  return new SendLimiter({
    ...{ clock, timers, random, log, metrics },
    fleet: {
      get self() {
        return readFleet()?.self ?? LOCAL_GRANTOR;
      },
      countVms: () => readFleet()?.totalVmCount ?? 1,
      countReachableVms: () => readFleet()?.reachableCount ?? 1,
      chooseGrantor: (service) => {
        const fleet = readFleet();
        return fleet === undefined ? LOCAL_GRANTOR : fleet.chooseGrantor(service);
      },
      send: (vm, message) => readFleet()?.send(vm, message),
      publishLimits: (updates, from) => readFleet()?.publishLimits(updates, from),
      sendLimitCorrection: (vm, updates) => readFleet()?.sendLimitCorrection(vm, updates),
    },
    targets: {
      serviceOf: (target) => directory.get(target)?.target.service,
      listUsable: (service) => directory.listUsable(service).map(({ target }) => target.id),
    },
  });
}
