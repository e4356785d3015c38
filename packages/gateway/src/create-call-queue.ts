/** Connects the queues of services with few slots to the target directory and to the peers. */
import { CallQueue } from '@limelead/queue-calls';
import type FairSharesComponent from './fair-shares-component.js';
import type { FleetComponentContext } from './fleet-component.js';

/** Queue VM of a VM without a peer address: it queues only its own calls. */
const LOCAL_QUEUE_VM = 'this VM';

/** Creates the call queue of one VM. */
export default function createCallQueue(
  context: FleetComponentContext,
  shares: Pick<FairSharesComponent, 'createQueueShares'>,
  readRejectionsPerSecond: (target: string) => number | undefined,
): CallQueue {
  const { clock, timers, random, log, metrics, directory, storeView, readExchange } = context;
  const readFleet = () => readExchange()?.queues;
  return new CallQueue({
    ...{ clock, timers, random, log, metrics },
    createShares: (service) => shares.createQueueShares(service),
    fleet: {
      get self() {
        return readFleet()?.self ?? LOCAL_QUEUE_VM;
      },
      countVms: () => readFleet()?.totalVmCount ?? 1,
      chooseQueueVm: (service) => {
        const fleet = readFleet();
        return fleet === undefined ? LOCAL_QUEUE_VM : fleet.chooseQueueVm(service);
      },
      send: (vm, message) => readFleet()?.send(vm, message),
    },
    targets: {
      isEngine: (service) => storeView.routes?.findService(service)?.engine !== undefined,
      list: (service) =>
        directory.listUsable(service).map(({ target: { id, slots }, inFlight }) => ({
          ...{ id, slots, inFlight },
          isSuspected: directory.isSuspected(id),
          rejectionsPerSecond: readRejectionsPerSecond(id),
        })),
    },
  });
}
