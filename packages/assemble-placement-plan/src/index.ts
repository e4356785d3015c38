/** Pure decision: which targets load or unload which model versions. */
import {
  formatModelVersion,
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
export interface PlacementSituation {
  rules: PlacementRule[];
  /** Versions with which new answers begin now. */
  current: ModelVersion[];
  /** Engines with a fresh report that are not leaving. */
  targets: PlacedTarget[];
  pending: PendingLoad[];
  /** Since when a version was wanted by nothing; by its description. */
  unwantedSince: ReadonlyMap<string, Millis>;
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
export interface PlannedOrder {
  targetId: TargetId;
  action: 'load' | 'unload';
  modelVersion: ModelVersion;
  reason: string;
}

/** Assembles the orders; none where everything is as it should be. */
export default function assemblePlacementPlan(situation: PlacementSituation): PlannedOrder[] {
  const loads = planLoads(situation);
  // Unloading waits until every rule is met, so that a change of version never
  // takes capacity away before its successor has it.
  const isSettled = loads.length === 0 && situation.pending.length === 0;
  return isSettled && meetsRules(situation) ? planUnloads(situation) : loads;
}

/** Versions that are loaded somewhere and that neither a rule nor a service wants. */
export function findUnwanted(situation: Omit<PlacementSituation, 'unwantedSince'>): ModelVersion[] {
  const seen = new Map<string, ModelVersion>();
  for (const version of situation.targets.flatMap(({ loaded }) => loaded)) {
    if (!isWanted(situation, version)) {
      seen.set(formatModelVersion(version), version);
    }
  }
  return [...seen.values()];
}

function planLoads(situation: PlacementSituation): PlannedOrder[] {
  const planned: PlannedOrder[] = [];
  const room = (): number =>
    situation.limits.maxPendingLoads - situation.pending.length - planned.length;
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
  situation: PlacementSituation,
  rule: PlacementRule,
  planned: PlannedOrder[],
): PlacedTarget | undefined {
  const version = versionOf(rule);
  const isTaken = (target: PlacedTarget): boolean =>
    hasOrAwaits(situation, target, version) ||
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

function planUnloads(situation: PlacementSituation): PlannedOrder[] {
  const { now, limits, unwantedSince } = situation;
  return findUnwanted(situation)
    .filter((version) => {
      const since = unwantedSince.get(formatModelVersion(version));
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

function meetsRules(situation: PlacementSituation): boolean {
  return situation.rules.every((rule) => countPlaced(situation, rule) >= rule.targets);
}

/** Allowed targets that have the rule's version, or are about to. */
function countPlaced(situation: PlacementSituation, rule: PlacementRule): number {
  const version = versionOf(rule);
  return situation.targets.filter(
    (target) => isAllowed(rule, target) && hasOrAwaits(situation, target, version),
  ).length;
}

function hasOrAwaits(
  { pending }: PlacementSituation,
  target: PlacedTarget,
  version: ModelVersion,
): boolean {
  return (
    target.loaded.some((loaded) => isSameModelVersion(loaded, version)) ||
    pending.some(
      (load) => load.targetId === target.id && isSameModelVersion(load.modelVersion, version),
    )
  );
}

function isAllowed(rule: PlacementRule, target: PlacedTarget): boolean {
  return rule.failureDomains.length === 0 || rule.failureDomains.includes(target.failureDomain);
}

function isWanted(
  { rules, current }: Pick<PlacementSituation, 'rules' | 'current'>,
  version: ModelVersion,
): boolean {
  const wanted = [...rules.map(versionOf), ...current];
  return wanted.some((other) => isSameModelVersion(other, version));
}

function versionOf({ model, adapter, version }: PlacementRule): ModelVersion {
  return { model, adapter, version };
}
