/** Does placement on this VM while it is one of the few that may, and holds the lease. */
import {
  createPlacementController,
  type PlacementController,
} from '@limelead/apply-placement-plan';
import { listSpecs } from '@limelead/configuration-state';
import { estimateLoad } from '@limelead/track-targets';
import type { ModelVersion } from '@limelead/types';
import isWatcher from './is-watcher.js';
import startLoop, { type Loop } from './loop.js';
import type { VmContext } from './vm-context.js';

/** Three tries at a renewal fit into the lease's time. */
const RECONCILE_INTERVAL_MS = 1_500;
/** The weight store serves only so many loads at a time. */
const MAX_PENDING_LOADS = 4;
/** Answers that began with a version that nothing wants any more have this long to end. */
const UNUSED_VERSION_RETENTION_MS = 600_000;
const REPORT_MAX_AGE_MS = 5_000;

/** Placement of one VM. */
export interface PlacementLoop extends Loop {
  release(): Promise<void>;
}

/** Starts to place. Without rules and without a lease nothing is asked of the service. */
export default function startPlacement(context: VmContext): PlacementLoop {
  const doer = createController(context);
  const loop = startLoop(context, RECONCILE_INTERVAL_MS, async () => {
    // The VMs that watch already; so the lease costs the service few calls.
    if (hasRules(context) && isWatcher(context)) {
      await doer.reconcile();
    }
  });
  return { stop: () => loop.stop(), release: () => doer.release() };
}

function createController(context: VmContext): PlacementController {
  const { externalSystems, clock, metrics, bus, incarnation, targets } = context;
  return createPlacementController({
    store: externalSystems.store,
    clock,
    metrics,
    bus,
    incarnation,
    limits: { maxPendingLoads: MAX_PENDING_LOADS, retainMs: UNUSED_VERSION_RETENTION_MS },
    readView: () => ({
      rules: listSpecs(context.configuration.configuration, 'placementRule'),
      currentVersions: listCurrentVersions(context),
      targets: listPlacedTargets(context),
    }),
    findEngine: (id) => {
      const target = targets.find(id);
      return target === undefined
        ? undefined
        : externalSystems.connector.engine(target.host, target.port);
    },
  });
}

function hasRules(context: VmContext): boolean {
  return listSpecs(context.configuration.configuration, 'placementRule').length > 0;
}

function listCurrentVersions(context: VmContext): ModelVersion[] {
  return listSpecs(context.configuration.configuration, 'service').flatMap(({ model }) =>
    model === undefined ? [] : [model],
  );
}

function listPlacedTargets({ targets, clock }: VmContext) {
  const now = clock.now();
  return targets
    .all()
    .filter((target) => target.role === 'engine' && targets.getState(target, now) === 'usable')
    .flatMap((target) => {
      const { id, failureDomain, report, reportAtMs } = target;
      const isFresh = report !== undefined && now - reportAtMs <= REPORT_MAX_AGE_MS;
      return isFresh
        ? [{ id, failureDomain, loaded: report.loaded, load: estimateLoad(target) }]
        : [];
    });
}
