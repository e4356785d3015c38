/** Connects the relay of requests to the targets, to the peers and to the front door. */
import { createHelperDialect, RequestRelayer } from '@limelead/relay-requests';
import type { TargetDialect } from '@limelead/forward-request';
import type { TargetConnections } from '@limelead/target-connections';
import { HeldLosses, ReachTracker } from '@limelead/track-reach';
import type { TargetLoss } from '@limelead/track-service-targets';
import type { ServiceTarget } from '@limelead/types';
import type { FleetComponentContext } from './fleet-component.js';

/** The parts with which one VM relays requests. */
export interface RelayParts {
  reach: ReachTracker;
  relay: RequestRelayer;
  /** Dialect of targets and of VMs that relay. */
  dialect: TargetDialect;
  /** Handles a loss that this VM observed. */
  onLost(target: ServiceTarget, loss: TargetLoss): void;
  /** Handles that a connection to a target or another VM opened, or failed to. */
  onConnect(target: ServiceTarget, isOpen: boolean): void;
}

/** Creates the parts of one VM. */
export default function createRelay(
  context: FleetComponentContext,
  connections: TargetConnections,
): RelayParts {
  const { clock, timers, random, log, metrics, directory, platform, readExchange } = context;
  const reach = new ReachTracker({
    ...{ clock, timers, random, log, metrics },
    listUsable: (service) => directory.listUsable(service).map(({ target }) => target),
    probe: (target) => connections.probe(target),
    onChanged(service, isReached) {
      readExchange()?.reach.publish();
      if (!isReached) {
        losses.onOutOfReach(service);
      }
    },
  });
  const losses = new HeldLosses<TargetLoss>({
    timers,
    isReached: (service) => reach.isReached(service),
    isDoubtful: (target) => reach.isDoubtful(target),
    publish: (id, loss) => readExchange()?.publishLoss(id, loss),
  });
  const relay = new RequestRelayer({
    ...{ clock, random, log, metrics, reach },
    listHelpers: (service) => readExchange()?.listHelpers(service) ?? [],
  });
  return {
    reach,
    relay,
    dialect: createHelperDialect(platform.targetDialect, platform.ingressDialect),
    onLost: (target, loss) => losses.record(target, loss),
    onConnect(target, isOpen) {
      if (target.isHelper === true) {
        relay.onConnect(target, isOpen);
      } else if (isOpen) {
        reach.onConnected(target);
        losses.onConnected(target.service);
      } else {
        reach.onConnectFailed(target);
      }
    },
  };
}
