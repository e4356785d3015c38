/**
 * Plans the targets of each failure domain. It prices every split into plain and spot targets that
 * tolerates two losses, one loss or none, adds the cost of the expected late runs, and selects the
 * cheapest.
 */
import type { CapacityPlan, CapacityInputs, LossCoverage, TargetCounts } from './types.js';

/**
 * Share of time that one failure domain is down. Probabilities affect only the price of a reserve,
 * never correctness.
 */
const DOMAIN_DOWN_PROBABILITY = 0.03;
/** Share of time that the spot targets of one failure domain are reclaimed or not yet replaced. */
const SPOT_RECLAIMED_PROBABILITY = 0.1;

/** A priced plan before `unconstrainedCounts` is added. */
type PricedPlan = Omit<CapacityPlan, 'unconstrainedCounts'>;

const NO_PLAN: PricedPlan = {
  ...{ counts: new Map(), cover: 'none', pricePerSecond: 0, lateRunsPerSecond: 0 },
};
const COVERS: readonly LossCoverage[] = ['two-losses', 'one-loss', 'none'];

/** Target counts of each failure domain, in order, for one split. */
interface Candidate {
  cover: LossCoverage;
  counts: TargetCounts[];
}

/**
 * Selects the split with the lowest price including late runs. Missing spot capacity does not
 * affect the split, since it is short-lived; the missing targets are planned in other domains.
 */
export default function planDomains(inputs: CapacityInputs): CapacityPlan {
  const unconstrained = planUnconstrained(inputs);
  return { ...moveMissingSpot(inputs, unconstrained), unconstrainedCounts: unconstrained.counts };
}

function planUnconstrained(inputs: CapacityInputs): PricedPlan {
  const candidates = listCandidates(inputs);
  const plans = candidates.map((candidate) => toPlan(inputs, candidate));
  return selectCheapest(inputs, plans);
}

function selectCheapest(inputs: CapacityInputs, plans: PricedPlan[]): PricedPlan {
  const [first, ...rest] = plans;
  if (first === undefined) {
    return NO_PLAN;
  }
  return rest.reduce(
    (best, plan) => (totalCost(inputs, plan) < totalCost(inputs, best) ? plan : best),
    first,
  );
}

/** Returns the price of a target per second by kind, in units of a plain target at price 1. */
export function targetPrices(
  { scaling }: Pick<CapacityInputs, 'scaling'>,
  domain: string,
): TargetCounts {
  const plain = scaling.domainPrices[domain] ?? 1;
  return { plain, spot: plain * (scaling.spotPrice ?? 1) };
}

function totalCost({ policy }: CapacityInputs, plan: PricedPlan): number {
  return plan.pricePerSecond + plan.lateRunsPerSecond / policy.lateRunsPerTargetSecond;
}

function listCandidates(inputs: CapacityInputs): Candidate[] {
  const { domains, needed, policy } = inputs;
  if (domains.length === 0) {
    return [];
  }
  return COVERS.flatMap((cover) => {
    const plainAlone = maxPlainForCoverage(cover, needed, domains.length);
    const maxPlain = Math.min(plainAlone, inputs.scaling.max);
    const minPlain = Math.min(policy.plainFloor, maxPlain);
    const length = maxPlain - minPlain + 1;
    return Array.from({ length }, (_, step) => toCandidate(inputs, cover, minPlain + step));
  });
}

/**
 * Returns the plain targets of each failure domain that tolerate the losses without any spot
 * target.
 */
function maxPlainForCoverage(cover: LossCoverage, needed: number, domains: number): number {
  const remaining = cover === 'none' ? domains : Math.max(1, domains - 1);
  return Math.ceil(needed / remaining);
}

function toCandidate(inputs: CapacityInputs, cover: LossCoverage, plain: number): Candidate {
  const { domains, needed, policy, scaling } = inputs;
  const canUseSpot = policy.usesSpot && scaling.spotPrice !== undefined;
  const spot = canUseSpot ? spotForCoverage(cover, { needed, plain, domains: domains.length }) : 0;
  return { cover, counts: domains.map(() => clampToBounds({ plain, spot }, inputs)) };
}

/**
 * Returns the spot targets of each failure domain that tolerate the losses beside these plain ones.
 */
function spotForCoverage(
  cover: LossCoverage,
  { needed, plain, domains }: { needed: number; plain: number; domains: number },
): number {
  const perDomain = (missing: number, remaining: number): number =>
    remaining <= 0 ? 0 : Math.max(0, Math.ceil(missing / remaining));
  if (cover === 'none') {
    return perDomain(needed - domains * plain, domains);
  }
  const spotForDomainLoss = perDomain(needed - (domains - 1) * plain, domains - 1);
  const spotForSpotLoss = perDomain(needed - domains * plain, domains - 1);
  const oneLoss = Math.max(spotForDomainLoss, spotForSpotLoss);
  if (cover === 'one-loss') {
    return oneLoss;
  }
  return Math.max(oneLoss, perDomain(needed - (domains - 1) * plain, domains - 2));
}

/** Moves spot targets that are unavailable in their domain to the others. */
function moveMissingSpot(inputs: CapacityInputs, plan: PricedPlan): PricedPlan {
  const { domains } = inputs;
  const unconstrained = domains.filter(({ maxSpot }) => maxSpot === undefined).length;
  const available = domains.map(({ name, maxSpot = Infinity }) => {
    const { plain, spot } = plan.counts.get(name) ?? { plain: 0, spot: 0 };
    return { plain, spot: Math.min(spot, maxSpot), missing: Math.max(0, spot - maxSpot) };
  });
  const missing = available.reduce((sum, domain) => sum + domain.missing, 0);
  if (missing === 0) {
    return plan;
  }
  if (unconstrained === 0) {
    return fillWithPlain(inputs, plan.cover, available);
  }
  const extra = Math.ceil(missing / unconstrained);
  const counts = available.map(({ plain, spot }, index) => {
    const hasSpot = domains[index]?.maxSpot === undefined;
    return clampToBounds({ plain, spot: spot + (hasSpot ? extra : 0) }, inputs);
  });
  return toPlan(inputs, { cover: plan.cover, counts });
}

/**
 * If no domain has spot targets available, adds plain targets to the emptiest domains while they
 * cost less than the late runs that they prevent.
 */
function fillWithPlain(
  inputs: CapacityInputs,
  cover: LossCoverage,
  available: readonly TargetCounts[],
): PricedPlan {
  const maxPerDomain = Math.min(inputs.scaling.max, inputs.needed);
  const plans = Array.from({ length: maxPerDomain + 1 }, (_, level) =>
    toPlan(inputs, {
      cover,
      counts: available.map(({ plain, spot }) =>
        clampToBounds({ plain: Math.max(plain, level - spot), spot }, inputs),
      ),
    }),
  );
  return selectCheapest(inputs, plans);
}

/** Keeps the total between the bounds: reduces spot targets first and fills up with plain ones. */
function clampToBounds({ plain, spot }: TargetCounts, { scaling }: CapacityInputs): TargetCounts {
  const boundedPlain = Math.min(plain, scaling.max);
  const boundedSpot = Math.min(spot, scaling.max - boundedPlain);
  const missing = Math.max(0, scaling.min - boundedPlain - boundedSpot);
  return { plain: boundedPlain + missing, spot: boundedSpot };
}

function toPlan(inputs: CapacityInputs, { cover, counts }: Candidate): PricedPlan {
  const { domains } = inputs;
  const pricePerSecond = domains.reduce((sum, { name }, index) => {
    const price = targetPrices(inputs, name);
    const { plain, spot } = counts[index] ?? { plain: 0, spot: 0 };
    return sum + plain * price.plain + spot * price.spot;
  }, 0);
  return {
    counts: new Map(
      domains.map(({ name }, index) => [name, counts[index] ?? { plain: 0, spot: 0 }]),
    ),
    cover,
    pricePerSecond,
    lateRunsPerSecond: inputs.runsPerSecond * expectedLateShare(inputs.needed, counts),
  };
}

/** Returns the expected share of late runs, over all losses by probability. */
export function expectedLateShare(needed: number, counts: readonly TargetCounts[]): number {
  const total = counts.reduce((sum, { plain, spot }) => sum + plain + spot, 0);
  const lateShare = (remaining: number): number =>
    needed <= 0 ? 0 : Math.max(0, 1 - remaining / needed);
  return counts.reduce((sum, down, index) => {
    const afterDown = total - down.plain - down.spot;
    const oneLoss =
      DOMAIN_DOWN_PROBABILITY * lateShare(afterDown) +
      SPOT_RECLAIMED_PROBABILITY * lateShare(total - down.spot);
    const twoLosses = counts.reduce(
      (pairs, reclaimed, other) =>
        other === index
          ? pairs
          : pairs +
            DOMAIN_DOWN_PROBABILITY *
              SPOT_RECLAIMED_PROBABILITY *
              lateShare(afterDown - reclaimed.spot),
      0,
    );
    return sum + oneLoss + twoLosses;
  }, lateShare(total));
}
