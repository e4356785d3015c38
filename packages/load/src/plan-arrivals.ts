/** Plans all arrivals in advance, so that two systems can receive the same load. */
import type { Random } from '@limelead/types';
import type { LengthDistribution, Mix, MixKind } from './mix.js';

const DEFAULT_PROMPT_CHARACTERS: LengthDistribution = { median: 400, sigma: 0.5, max: 8_000 };
const DEFAULT_MAX_TOKENS: LengthDistribution = { median: 60, sigma: 0.7, max: 2_000 };

/** One request and its scheduled start in milliseconds from the start of the load. */
export interface Arrival {
  atMs: number;
  requestId: string;
  kind: MixKind;
  prompt: string;
  maxTokens: number;
  /** Failure domain in which the request arrives; undefined if the mix lists none. */
  failureDomain?: string;
}

/** Plans Poisson arrivals over the duration of the mix; the rate includes its surges. */
export default function planArrivals(mix: Mix, random: Random, idPrefix: string): Arrival[] {
  const arrivals: Arrival[] = [];
  let atMs = drawInterArrivalMs(mix, 0, random);
  while (atMs < mix.durationMs) {
    const kind = drawWeighted(listKindShares(mix, atMs), random).kind;
    const index = arrivals.length;
    arrivals.push({
      atMs,
      requestId: `${idPrefix}-${index}`,
      kind,
      prompt: drawPrompt(kind, index, random),
      maxTokens: drawLength(kind.maxTokens ?? DEFAULT_MAX_TOKENS, random),
      ...(mix.places && { failureDomain: drawWeighted(mix.places, random).failureDomain }),
    });
    atMs += drawInterArrivalMs(mix, atMs, random);
  }
  return arrivals;
}

/** A kind with its weight at one moment. */
interface KindShare {
  kind: MixKind;
  share: number;
}

function listKindShares({ kinds, surges = [] }: Mix, atMs: number): KindShare[] {
  const activeSurges = surges.filter(({ fromMs, toMs }) => fromMs <= atMs && atMs < toMs);
  return kinds.map((kind) => ({
    kind,
    share: activeSurges
      .filter((surge) => surge.kind === undefined || surge.kind === kind.name)
      .reduce((share, { factor }) => share * factor, kind.share),
  }));
}

/** Draws the time to the next arrival at the rate in force at `atMs`. */
function drawInterArrivalMs(mix: Mix, atMs: number, random: Random): number {
  const factor = sumShares(listKindShares(mix, atMs)) / sumShares(mix.kinds);
  return (-Math.log(1 - random.next()) * 1000) / (mix.requestsPerSecond * factor);
}

function drawWeighted<Entry extends { share: number }>(
  entries: readonly Entry[],
  random: Random,
): Entry {
  let remaining = random.next() * sumShares(entries);
  for (const entry of entries) {
    remaining -= entry.share;
    if (remaining < 0) {
      return entry;
    }
  }
  throw new Error('the weighted list is empty');
}

function sumShares(entries: readonly { share: number }[]): number {
  return entries.reduce((sum, { share }) => sum + share, 0);
}

function drawPrompt(kind: MixKind, index: number, random: Random): string {
  const length = drawLength(kind.promptCharacters ?? DEFAULT_PROMPT_CHARACTERS, random);
  const prefix = drawPrefix(kind, random);
  const body = `request ${index} of ${kind.name} `;
  return (prefix + body.repeat(Math.ceil(length / body.length))).slice(0, prefix.length + length);
}

function drawPrefix({ name, sharedPrefixes }: MixKind, random: Random): string {
  if (sharedPrefixes === undefined) {
    return '';
  }
  const prefixIndex = Math.floor(random.next() * sharedPrefixes.count);
  const text = `prefix ${prefixIndex} of ${name} `;
  const { characters } = sharedPrefixes;
  return text.repeat(Math.ceil(characters / text.length)).slice(0, characters);
}

function drawLength({ median, sigma, max }: LengthDistribution, random: Random): number {
  const drawn = Math.round(median * Math.exp(sigma * drawNormal(random)));
  return Math.min(Math.max(1, drawn), max);
}

/** Draws from a standard normal distribution with the Box-Muller transform. */
function drawNormal(random: Random): number {
  const radius = Math.sqrt(-2 * Math.log(1 - random.next()));
  return radius * Math.cos(2 * Math.PI * random.next());
}
