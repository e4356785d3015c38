/** Creates the parts that watch the runs at targets and end those that leave. */
import { RunStopper, SilenceMonitor, type TargetDialect } from '@limelead/forward-request';
import type { TargetConnections } from '@limelead/target-connections';
import type { FleetComponentContext } from './fleet-component.js';

/** The parts of one VM. */
export interface RunWatchers {
  silence: SilenceMonitor;
  runStopper: RunStopper;
}

export default function createRunWatchers(
  { readExchange, storeView, ...context }: FleetComponentContext,
  connections: TargetConnections,
  dialect: TargetDialect,
): RunWatchers {
  const options = { ...context, connections, dialect };
  return {
    silence: new SilenceMonitor({
      ...options,
      onProbeAnswered: (target, atMs) =>
        readExchange()?.targetUpdates.probeAnswers.publish({ target, atMs }),
    }),
    runStopper: new RunStopper({
      ...options,
      findService: (name) => storeView.routes?.findService(name),
    }),
  };
}
