/**
 * Tokens of memory in messages between VMs. They are optional: older releases omit and ignore them,
 * and so does a VM whose requests state no size.
 */
import * as t from 'io-ts';
import type { TargetLoad } from './types.js';

/** Tokens are rounded to this many, so that small differences cause no further messages. */
const TOKEN_UNIT = 100;

/** Tokens of the runs and replicas in a load. */
export const targetTokensCodec = t.partial({ tokens: t.number });

/** The run that wants a target; see `AdviceRequest`. */
export const advisedRunCodec = t.partial({
  tokens: t.number,
  isLastResort: t.boolean,
  softwareVersion: t.string,
});

/** Set if no target has enough memory, and true then. */
export const noRoomCodec = t.partial({ noRoom: t.boolean });

/** Tokens of a region by target; 0 where unknown. */
export const regionTokensCodec = t.partial({ tokens: t.array(t.number) });

/** Returns undefined for no tokens, which is not sent. */
export function roundTokens(tokens: number): number | undefined {
  return tokens > 0 ? Math.ceil(tokens / TOKEN_UNIT) * TOKEN_UNIT : undefined;
}

/** Sum of two loads; a load without tokens counts with the mean of the other. */
export function addTokens(a: TargetLoad, b: TargetLoad): Pick<TargetLoad, 'tokens'> {
  if (a.tokens === undefined && b.tokens === undefined) {
    return {};
  }
  const tokens = (a.tokens ?? estimate(a, b)) + (b.tokens ?? estimate(b, a));
  return { tokens: roundTokens(tokens) };
}

/** The column of a region's loads; omitted if no load has tokens. */
export function toTokensColumn(loads: readonly TargetLoad[]): { tokens?: number[] } {
  return loads.some(({ tokens }) => tokens !== undefined)
    ? { tokens: loads.map(({ tokens }) => tokens ?? 0) }
    : {};
}

/** Reads the column at an index. */
export function fromTokensColumn(column: number[] | undefined, index: number) {
  const tokens = column?.[index] ?? 0;
  return tokens > 0 ? { tokens } : {};
}

function estimate(load: TargetLoad, other: TargetLoad): number {
  return ((other.tokens ?? 0) / Math.max(1, countRuns(other))) * countRuns(load);
}

function countRuns({ requests, copies }: TargetLoad): number {
  return requests + copies;
}
