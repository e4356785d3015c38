/** Controls model placement from this VM while it is a watcher and holds the lease. */
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

/** Short enough for three attempts to renew the lease before it expires. */
const RECONCILE_INTERVAL_MS = 1_500;
/** Limit on concurrent model loads from the weight store. */
const MAX_PENDING_LOADS = 4;
/** Time for which an unused version stays loaded, so that answers that use it can finish. */
const UNUSED_VERSION_RETENTION_MS = 600_000;
const REPORT_MAX_AGE_MS = 5_000;

/** Placement loop of one VM; `release` gives up the lease. */
export interface PlacementLoop extends Loop {
  release(): Promise<void>;
}

/** Starts the placement loop. It makes no calls to the store while there are no placement rules. */
export default function startPlacement(context: VmContext): PlacementLoop {
  const controller = createController(context);
  const loop = startLoop(context, RECONCILE_INTERVAL_MS, async () => {
    // Only watchers compete for the lease, which limits the calls to the key-value store.
    if (hasRules(context) && isWatcher(context)) {
      await controller.reconcile();
    }
  });
  return { stop: () => loop.stop(), release: () => controller.release() };
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
