/** Plans which targets load or unload which model versions; free of side effects. */
import {
  formatModelVersion,
  isSameModelVersion,
  type Millis,
  type ModelVersion,
  type PlacementRule,
  type TargetId,
} from '@limelead/types';

/** A model engine, as the planner sees it. */
export interface PlacedTarget {
  id: TargetId;
  failureDomain: string;
  /** Versions named in its last fresh report. */
  loaded: ModelVersion[];
  /** Generations that run or wait there. */
  load: number;
}

/** An ordered load that the target does not report yet. */
export interface PendingLoad {
  targetId: TargetId;
  modelVersion: ModelVersion;
}

/** Inputs of a plan. */
export interface PlacementInputs {
  rules: PlacementRule[];
  /** Versions that new answers start with. */
  currentVersions: ModelVersion[];
  /** Engines with a fresh report that are not leaving. */
  targets: PlacedTarget[];
  pendingLoads: PendingLoad[];
  /** When each version became unused, by the version's description. */
  unusedSinceMs: ReadonlyMap<string, Millis>;
  now: Millis;
  limits: PlacementLimits;
}

/** Limits on the orders of one plan. */
export interface PlacementLimits {
  /** Maximum loads in progress; the weight store is rate-limited. */
  maxPendingLoads: number;
  /** Time for which an unused version stays loaded, so that answers started with it can finish. */
  retainMs: number;
}

/** One order with its reason. */
export interface PlacementOrder {
  targetId: TargetId;
  action: 'load' | 'unload';
  modelVersion: ModelVersion;
  reason: string;
}

/** Returns the orders to send; none if the targets match the rules. */
export default function assemblePlacementPlan(inputs: PlacementInputs): PlacementOrder[] {
  const loads = planLoads(inputs);
  // Unloads wait until every rule is met, so that a change of version never reduces capacity.
  const areLoadsComplete = loads.length === 0 && inputs.pendingLoads.length === 0;
  return areLoadsComplete && areRulesMet(inputs) ? planUnloads(inputs) : loads;
}

/** Returns the loaded versions that no rule and no service uses. */
export function findUnusedVersions(inputs: Omit<PlacementInputs, 'unusedSinceMs'>): ModelVersion[] {
  const seen = new Map<string, ModelVersion>();
  for (const version of inputs.targets.flatMap(({ loaded }) => loaded)) {
    if (!isUsed(inputs, version)) {
      seen.set(formatModelVersion(version), version);
    }
  }
  return [...seen.values()];
}

function planLoads(inputs: PlacementInputs): PlacementOrder[] {
  const planned: PlacementOrder[] = [];
  const remainingLoads = (): number =>
    inputs.limits.maxPendingLoads - inputs.pendingLoads.length - planned.length;
  for (const rule of inputs.rules) {
    let missing = rule.targets - countPlaced(inputs, rule);
    while (missing > 0 && remainingLoads() > 0) {
      const target = chooseTarget(inputs, rule, planned);
      if (target === undefined) {
        break;
      }
      const reason = `rule ${rule.name} needs ${missing} more targets`;
      planned.push({ targetId: target.id, action: 'load', modelVersion: versionOf(rule), reason });
      missing -= 1;
    }
  }
  return planned;
}

/** Spreads over failure domains first, then prefers the least loaded target. */
function chooseTarget(
  inputs: PlacementInputs,
  rule: PlacementRule,
  planned: PlacementOrder[],
): PlacedTarget | undefined {
  const version = versionOf(rule);
  const hasVersion = (target: PlacedTarget): boolean =>
    hasOrIsLoading(inputs, target, version) ||
    planned.some(
      (order) => order.targetId === target.id && isSameModelVersion(order.modelVersion, version),
    );
  const candidates = inputs.targets.filter(
    (target) => isAllowed(rule, target) && !hasVersion(target),
  );
  const placedIn = (domain: string): number =>
    inputs.targets.filter((target) => target.failureDomain === domain && hasVersion(target)).length;
  return candidates.sort(
    (a, b) =>
      placedIn(a.failureDomain) - placedIn(b.failureDomain) ||
      a.loaded.length - b.loaded.length ||
      a.load - b.load ||
      (a.id < b.id ? -1 : 1),
  )[0];
}

function planUnloads(inputs: PlacementInputs): PlacementOrder[] {
  const { now, limits, unusedSinceMs } = inputs;
  return findUnusedVersions(inputs)
    .filter((version) => {
      const since = unusedSinceMs.get(formatModelVersion(version));
      return since !== undefined && now - since >= limits.retainMs;
    })
    .flatMap((version) =>
      inputs.targets
        .filter(({ loaded }) => loaded.some((other) => isSameModelVersion(other, version)))
        .map(({ id }) => ({
          targetId: id,
          action: 'unload' as const,
          modelVersion: version,
          reason: 'not used by any rule or service',
        })),
    );
}

function areRulesMet(inputs: PlacementInputs): boolean {
  return inputs.rules.every((rule) => countPlaced(inputs, rule) >= rule.targets);
}

/** Counts the allowed targets that have the rule's version or are loading it. */
function countPlaced(inputs: PlacementInputs, rule: PlacementRule): number {
  const version = versionOf(rule);
  return inputs.targets.filter(
    (target) => isAllowed(rule, target) && hasOrIsLoading(inputs, target, version),
  ).length;
}

function hasOrIsLoading(
  { pendingLoads }: PlacementInputs,
  target: PlacedTarget,
  version: ModelVersion,
): boolean {
  return (
    target.loaded.some((loaded) => isSameModelVersion(loaded, version)) ||
    pendingLoads.some(
      (load) => load.targetId === target.id && isSameModelVersion(load.modelVersion, version),
    )
  );
}

function isAllowed(rule: PlacementRule, target: PlacedTarget): boolean {
  return rule.failureDomains.length === 0 || rule.failureDomains.includes(target.failureDomain);
}

function isUsed(
  { rules, currentVersions }: Pick<PlacementInputs, 'rules' | 'currentVersions'>,
  version: ModelVersion,
): boolean {
  const used = [...rules.map(versionOf), ...currentVersions];
  return used.some((other) => isSameModelVersion(other, version));
}

function versionOf({ model, adapter, version }: PlacementRule): ModelVersion {
  return { model, adapter, version };
}
