/** Linear fits through measured points. */

/** A quantity measured at several sizes and its linear fit. Written as JSON. */
export interface Slope {
  name: string;
  /** Unit of the size, such as "organisation". */
  per: string;
  /** Unit of the quantity, such as "KB". */
  unit: string;
  sizes: number[];
  values: number[];
  slope: number;
  intercept: number;
  /** Coefficient of determination (R²), 0 to 1. */
  fit: number;
}

/** Fits a line by least squares. */
export default function fitSlope(
  name: string,
  per: string,
  unit: string,
  points: readonly (readonly [size: number, value: number])[],
): Slope {
  const sizes = points.map(([size]) => size);
  const values = points.map(([, value]) => roundToFourDigits(value));
  const [meanSize, meanValue] = [mean(sizes), mean(values)];
  const covariance = mean(
    sizes.map((size, i) => (size - meanSize) * ((values[i] ?? 0) - meanValue)),
  );
  const variance = mean(sizes.map((size) => (size - meanSize) ** 2));
  const slope = variance === 0 ? 0 : covariance / variance;
  const intercept = meanValue - slope * meanSize;
  const residual = mean(sizes.map((size, i) => ((values[i] ?? 0) - intercept - slope * size) ** 2));
  const spread = mean(values.map((value) => (value - meanValue) ** 2));
  const fit = spread === 0 ? 1 : 1 - residual / spread;
  return {
    name,
    per,
    unit,
    sizes,
    values,
    slope: roundToFourDigits(slope),
    intercept: roundToFourDigits(intercept),
    fit: Math.round(fit * 1_000) / 1_000,
  };
}

/** Returns the fitted value at a size, at least 0. */
export function evaluateSlope({ slope, intercept }: Slope, size: number): number {
  return Math.max(0, intercept + slope * size);
}

function mean(values: number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / Math.max(1, values.length);
}

function roundToFourDigits(value: number): number {
  return value === 0 ? 0 : Number(value.toPrecision(4));
}
