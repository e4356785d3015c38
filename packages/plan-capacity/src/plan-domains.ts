/**
 * Pure plan of the targets of each failure domain. Every split of the need into plain and
 * spot that bears two losses, one or none is priced, and the late runs that it leaves are
 * priced with it; the cheapest sum is taken.
 */
import type { CapacityPlan, CapacityInputs, LossCoverage, TargetCounts } from './types.js';

/*
 * Likelihoods are parts of all time. They weigh the price of a reserve against the runs
 * that go without it; a wrong one costs a little money or a few runs, never correctness.
 */

/** One failure domain is down: some seconds of every few minutes on the users' worst days. */
const DOMAIN_DOWN_PROBABILITY = 0.03;
/** The spot targets of one failure domain are away: a notice, the time until new ones serve. */
const SPOT_RECLAIMED_PROBABILITY = 0.1;

/** A plan without what it would be if no domain were dry. */
type PricedPlan = Omit<CapacityPlan, 'unconstrainedCounts'>;

const NO_PLAN: PricedPlan = {
  ...{ counts: new Map(), cover: 'none', pricePerSecond: 0, lateRunsPerSecond: 0 },
};
const COVERS: readonly LossCoverage[] = ['two-losses', 'one-loss', 'none'];

/** The numbers of each failure domain, in order, for one split. */
interface Candidate {
  cover: LossCoverage;
  counts: TargetCounts[];
}

/**
 * Takes the split whose price and late runs together cost least. Dry domains have no say in
 * the split, since they are dry for some seconds only; what they can't give is ordered
 * elsewhere.
 */
export default function planDomains(question: CapacityInputs): CapacityPlan {
  const open = planUnconstrained(question);
  return { ...moveMissingSpot(question, open), unconstrainedCounts: open.counts };
}

function planUnconstrained(question: CapacityInputs): PricedPlan {
  const candidates = listCandidates(question);
  const plans = candidates.map((candidate) => toPlan(question, candidate));
  return selectCheapest(question, plans);
}

function selectCheapest(question: CapacityInputs, plans: PricedPlan[]): PricedPlan {
  const [first, ...rest] = plans;
  if (first === undefined) {
    return NO_PLAN;
  }
  return rest.reduce(
    (best, plan) => (totalCost(question, plan) < totalCost(question, best) ? plan : best),
    first,
  );
}

/** Price of one target and second: plain 1, times what the failure domain asks. */
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

function listCandidates(question: CapacityInputs): Candidate[] {
  const { domains, needed, policy } = question;
  if (domains.length === 0) {
    return [];
  }
  return COVERS.flatMap((cover) => {
    const covering = maxPlainForCoverage(cover, needed, domains.length);
    const mostPlain = Math.min(covering, question.scaling.max);
    const least = Math.min(policy.plainFloor, mostPlain);
    const length = mostPlain - least + 1;
    return Array.from({ length }, (_, step) => toCandidate(question, cover, least + step));
  });
}

/** Plain targets of each failure domain that bear the losses without any spot target. */
function maxPlainForCoverage(cover: LossCoverage, needed: number, domains: number): number {
  const left = cover === 'none' ? domains : Math.max(1, domains - 1);
  return Math.ceil(needed / left);
}

function toCandidate(question: CapacityInputs, cover: LossCoverage, plain: number): Candidate {
  const { domains, needed, policy, scaling } = question;
  const maySpot = policy.usesSpot && scaling.spotPrice !== undefined;
  const spot = maySpot ? spotForCoverage(cover, { needed, plain, domains: domains.length }) : 0;
  return { cover, counts: domains.map(() => clampToBounds({ plain, spot }, question)) };
}

/** Spot targets of each failure domain that bear the losses beside so many plain ones. */
function spotForCoverage(
  cover: LossCoverage,
  { needed, plain, domains }: { needed: number; plain: number; domains: number },
): number {
  const perDomain = (missing: number, left: number): number =>
    left <= 0 ? 0 : Math.max(0, Math.ceil(missing / left));
  if (cover === 'none') {
    return perDomain(needed - domains * plain, domains);
  }
  const domainDown = perDomain(needed - (domains - 1) * plain, domains - 1);
  const spotAway = perDomain(needed - domains * plain, domains - 1);
  const oneLoss = Math.max(domainDown, spotAway);
  if (cover === 'one-loss') {
    return oneLoss;
  }
  return Math.max(oneLoss, perDomain(needed - (domains - 1) * plain, domains - 2));
}

/** What dry domains can't give is ordered in the others. */
function moveMissingSpot(question: CapacityInputs, plan: PricedPlan): PricedPlan {
  const { domains } = question;
  const open = domains.filter(({ maxSpot }) => maxSpot === undefined).length;
  const given = domains.map(({ name, maxSpot = Infinity }) => {
    const { plain, spot } = plan.counts.get(name) ?? { plain: 0, spot: 0 };
    return { plain, spot: Math.min(spot, maxSpot), missing: Math.max(0, spot - maxSpot) };
  });
  const missing = given.reduce((sum, domain) => sum + domain.missing, 0);
  if (missing === 0) {
    return plan;
  }
  if (open === 0) {
    return fillWithPlain(question, plan.cover, given);
  }
  const extra = Math.ceil(missing / open);
  const counts = given.map(({ plain, spot }, index) => {
    const isOpen = domains[index]?.maxSpot === undefined;
    return clampToBounds({ plain, spot: spot + (isOpen ? extra : 0) }, question);
  });
  return toPlan(question, { cover: plan.cover, counts });
}

/**
 * Where all domains are dry, plain targets come in for the spot ones: as many in the emptiest
 * domains as cost less than the runs that would be late without them.
 */
function fillWithPlain(
  question: CapacityInputs,
  cover: LossCoverage,
  given: readonly TargetCounts[],
): PricedPlan {
  const most = Math.min(question.scaling.max, question.needed);
  const plans = Array.from({ length: most + 1 }, (_, level) =>
    toPlan(question, {
      cover,
      counts: given.map(({ plain, spot }) =>
        clampToBounds({ plain: Math.max(plain, level - spot), spot }, question),
      ),
    }),
  );
  return selectCheapest(question, plans);
}

/** Holds the sum between the bounds; spot targets give way first, plain ones fill up. */
function clampToBounds({ plain, spot }: TargetCounts, { scaling }: CapacityInputs): TargetCounts {
  const heldPlain = Math.min(plain, scaling.max);
  const heldSpot = Math.min(spot, scaling.max - heldPlain);
  const missing = Math.max(0, scaling.min - heldPlain - heldSpot);
  return { plain: heldPlain + missing, spot: heldSpot };
}

function toPlan(question: CapacityInputs, { cover, counts }: Candidate): PricedPlan {
  const { domains } = question;
  const pricePerSecond = domains.reduce((sum, { name }, index) => {
    const price = targetPrices(question, name);
    const { plain, spot } = counts[index] ?? { plain: 0, spot: 0 };
    return sum + plain * price.plain + spot * price.spot;
  }, 0);
  return {
    counts: new Map(
      domains.map(({ name }, index) => [name, counts[index] ?? { plain: 0, spot: 0 }]),
    ),
    cover,
    pricePerSecond,
    lateRunsPerSecond: question.runsPerSecond * expectedLateShare(question.needed, counts),
  };
}

/** Part of the runs that is late, over all losses by their likelihood. */
export function expectedLateShare(needed: number, counts: readonly TargetCounts[]): number {
  const total = counts.reduce((sum, { plain, spot }) => sum + plain + spot, 0);
  const lateShare = (left: number): number => (needed <= 0 ? 0 : Math.max(0, 1 - left / needed));
  return counts.reduce((sum, down, index) => {
    const afterDown = total - down.plain - down.spot;
    const one =
      DOMAIN_DOWN_PROBABILITY * lateShare(afterDown) +
      SPOT_RECLAIMED_PROBABILITY * lateShare(total - down.spot);
    const two = counts.reduce(
      (pairs, away, other) =>
        other === index
          ? pairs
          : pairs +
            DOMAIN_DOWN_PROBABILITY * SPOT_RECLAIMED_PROBABILITY * lateShare(afterDown - away.spot),
      0,
    );
    return sum + one + two;
  }, lateShare(total));
}
