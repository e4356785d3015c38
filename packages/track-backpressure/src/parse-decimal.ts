/** Reads a plain decimal number, as headers carry it. */
const DECIMAL = /^(\d+\.?\d*|\.\d+)$/;

/** Undefined for signs, exponents, words, nothing, and what is too large for a number. */
export default function parseDecimal(text: string): number | undefined {
  const value = DECIMAL.test(text) ? Number(text) : Infinity;
  return Number.isFinite(value) ? value : undefined;
}
