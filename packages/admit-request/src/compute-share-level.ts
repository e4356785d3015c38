/** Max-min fair division of a capacity by water-filling. Pure. */

/** Demand of one organisation. */
export interface WeightedDemand {
  perSecond: number;
  /** Relative share under pressure, above 0. */
  weight: number;
}

/**
 * Returns the fair share per unit of weight: organisations that ask for less get all of it, and the
 * others divide the rest by weight. Infinity if the capacity covers all demands.
 */
export default function computeShareLevel(
  demands: readonly WeightedDemand[],
  capacityPerSecond: number,
): number {
  const ascending = [...demands].sort((a, b) => a.perSecond / a.weight - b.perSecond / b.weight);
  let left = Math.max(0, capacityPerSecond);
  let weights = demands.reduce((sum, { weight }) => sum + weight, 0);
  for (const { perSecond, weight } of ascending) {
    const level = left / weights;
    if (perSecond > level * weight) {
      return level;
    }
    left -= perSecond;
    weights -= weight;
  }
  return Infinity;
}
