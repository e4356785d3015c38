/** Pure decision: which targets load or unload which model versions. */
import {
  describeModelVersion,
  isSameModelVersion,
  type Millis,
  type ModelVersion,
  type PlacementRule,
  type TargetId,
} from '@limelead/types';

/** An engine as the planner sees it. */
export interface PlacedTarget {
  id: TargetId;
  failureDomain: string;
  /** Versions that its last fresh report names. */
  loaded: ModelVersion[];
  /** Generations that run or wait there. */
  load: number;
}

/** A load order that its target does not yet show. */
export interface PendingLoad {
  targetId: TargetId;
  modelVersion: ModelVersion;
}

/** Everything that a plan is made from. */
export interface PlacementInputs {
  rules: PlacementRule[];
  /** Versions with which new answers begin now. */
  currentVersions: ModelVersion[];
  /** Engines with a fresh report that are not leaving. */
  targets: PlacedTarget[];
  pendingLoads: PendingLoad[];
  /** Since when a version was wanted by nothing; by its description. */
  unusedSinceMs: ReadonlyMap<string, Millis>;
  now: Millis;
  limits: PlacementLimits;
}

/** Limits on the orders of one plan. */
export interface PlacementLimits {
  /** Loads under way at a time; the weight store is rate-limited. */
  maxPendingLoads: number;
  /** Time for which a version stays loaded that nothing wants, for answers that began with it. */
  retainMs: number;
}

/** One order, and why. */
export interface PlacementOrder {
  targetId: TargetId;
  action: 'load' | 'unload';
  modelVersion: ModelVersion;
  reason: string;
}

/** Assembles the orders; none where everything is as it should be. */
export default function assemblePlacementPlan(situation: PlacementInputs): PlacementOrder[] {
  const loads = planLoads(situation);
  // Unloading waits until every rule is met, so that a change of version never
  // takes capacity away before its successor has it.
  const isSettled = loads.length === 0 && situation.pendingLoads.length === 0;
  return isSettled && areRulesMet(situation) ? planUnloads(situation) : loads;
}

/** Versions that are loaded somewhere and that neither a rule nor a service wants. */
export function findUnusedVersions(
  situation: Omit<PlacementInputs, 'unusedSinceMs'>,
): ModelVersion[] {
  const seen = new Map<string, ModelVersion>();
  for (const version of situation.targets.flatMap(({ loaded }) => loaded)) {
    if (!isUsed(situation, version)) {
      seen.set(describeModelVersion(version), version);
    }
  }
  return [...seen.values()];
}

function planLoads(situation: PlacementInputs): PlacementOrder[] {
  const planned: PlacementOrder[] = [];
  const room = (): number =>
    situation.limits.maxPendingLoads - situation.pendingLoads.length - planned.length;
  for (const rule of situation.rules) {
    let missing = rule.targets - countPlaced(situation, rule);
    while (missing > 0 && room() > 0) {
      const target = chooseTarget(situation, rule, planned);
      if (target === undefined) {
        break;
      }
      const reason = `rule ${rule.name} lacks ${missing}`;
      planned.push({ targetId: target.id, action: 'load', modelVersion: versionOf(rule), reason });
      missing -= 1;
    }
  }
  return planned;
}

/** Spreads over failure domains first, then takes the least busy. */
function chooseTarget(
  situation: PlacementInputs,
  rule: PlacementRule,
  planned: PlacementOrder[],
): PlacedTarget | undefined {
  const version = versionOf(rule);
  const isTaken = (target: PlacedTarget): boolean =>
    hasOrIsLoading(situation, target, version) ||
    planned.some(
      (order) => order.targetId === target.id && isSameModelVersion(order.modelVersion, version),
    );
  const candidates = situation.targets.filter(
    (target) => isAllowed(rule, target) && !isTaken(target),
  );
  const placedIn = (domain: string): number =>
    situation.targets.filter((target) => target.failureDomain === domain && isTaken(target)).length;
  return candidates.sort(
    (a, b) =>
      placedIn(a.failureDomain) - placedIn(b.failureDomain) ||
      a.loaded.length - b.loaded.length ||
      a.load - b.load ||
      (a.id < b.id ? -1 : 1),
  )[0];
}

function planUnloads(situation: PlacementInputs): PlacementOrder[] {
  const { now, limits, unusedSinceMs } = situation;
  return findUnusedVersions(situation)
    .filter((version) => {
      const since = unusedSinceMs.get(describeModelVersion(version));
      return since !== undefined && now - since >= limits.retainMs;
    })
    .flatMap((version) =>
      situation.targets
        .filter(({ loaded }) => loaded.some((other) => isSameModelVersion(other, version)))
        .map(({ id }) => ({
          targetId: id,
          action: 'unload' as const,
          modelVersion: version,
          reason: 'wanted by no rule and no service',
        })),
    );
}

function areRulesMet(situation: PlacementInputs): boolean {
  return situation.rules.every((rule) => countPlaced(situation, rule) >= rule.targets);
}

/** Allowed targets that have the rule's version, or are about to. */
function countPlaced(situation: PlacementInputs, rule: PlacementRule): number {
  const version = versionOf(rule);
  return situation.targets.filter(
    (target) => isAllowed(rule, target) && hasOrIsLoading(situation, target, version),
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
  const wanted = [...rules.map(versionOf), ...currentVersions];
  return wanted.some((other) => isSameModelVersion(other, version));
}

function versionOf({ model, adapter, version }: PlacementRule): ModelVersion {
  return { model, adapter, version };
}
