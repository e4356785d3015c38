/** Parses a plain decimal number from a header. */
const DECIMAL = /^(\d+\.?\d*|\.\d+)$/;

/** Returns undefined for signs, exponents, words, empty text, and numbers that are not finite. */
export default function parseDecimal(text: string): number | undefined {
  const value = DECIMAL.test(text) ? Number(text) : Infinity;
  return Number.isFinite(value) ? value : undefined;
}
