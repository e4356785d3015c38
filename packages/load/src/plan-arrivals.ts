/** Pure plan of all arrivals, so that two systems can be given the very same load. */
import type { Random } from '@limelead/types';
import type { Length, Mix, MixKind } from './mix.js';

const DEFAULT_PROMPT: Length = { median: 400, sigma: 0.5, max: 8_000 };
const DEFAULT_TOKENS: Length = { median: 60, sigma: 0.7, max: 2_000 };

/** One request and its intended start. */
export interface Arrival {
  atMs: number;
  requestId: string;
  kind: MixKind;
  prompt: string;
  maxTokens: number;
  /** Where it arrives; undefined where the mix names no places. */
  failureDomain?: string;
}

/** Plans Poisson arrivals over the duration of the mix; their rate follows its surges. */
export default function planArrivals(mix: Mix, random: Random, idPrefix: string): Arrival[] {
  const arrivals: Arrival[] = [];
  let atMs = drawPause(mix, 0, random);
  while (atMs < mix.durationMs) {
    const kind = drawShare(listShares(mix, atMs), random).kind;
    const index = arrivals.length;
    arrivals.push({
      atMs,
      requestId: `${idPrefix}-${index}`,
      kind,
      prompt: drawPrompt(kind, index, random),
      maxTokens: drawLength(kind.maxTokens ?? DEFAULT_TOKENS, random),
      ...(mix.places && { failureDomain: drawShare(mix.places, random).failureDomain }),
    });
    atMs += drawPause(mix, atMs, random);
  }
  return arrivals;
}

/** A kind with the part of all arrivals that it has at some time. */
interface KindShare {
  kind: MixKind;
  share: number;
}

function listShares({ kinds, surges = [] }: Mix, atMs: number): KindShare[] {
  const present = surges.filter(({ fromMs, toMs }) => fromMs <= atMs && atMs < toMs);
  return kinds.map((kind) => ({
    kind,
    share: present
      .filter((surge) => surge.kind === undefined || surge.kind === kind.name)
      .reduce((share, { factor }) => share * factor, kind.share),
  }));
}

/** A pause at the rate of the time at which it begins. */
function drawPause(mix: Mix, atMs: number, random: Random): number {
  const factor = sumShares(listShares(mix, atMs)) / sumShares(mix.kinds);
  return (-Math.log(1 - random.next()) * 1000) / (mix.requestsPerSecond * factor);
}

function drawShare<Entry extends { share: number }>(
  entries: readonly Entry[],
  random: Random,
): Entry {
  let left = random.next() * sumShares(entries);
  for (const entry of entries) {
    left -= entry.share;
    if (left < 0) {
      return entry;
    }
  }
  throw new Error('nothing to draw from');
}

function sumShares(entries: readonly { share: number }[]): number {
  return entries.reduce((sum, { share }) => sum + share, 0);
}

function drawPrompt(kind: MixKind, index: number, random: Random): string {
  const length = drawLength(kind.promptCharacters ?? DEFAULT_PROMPT, random);
  const prefix = drawPrefix(kind, random);
  const own = `request ${index} of ${kind.name} `;
  return (prefix + own.repeat(Math.ceil(length / own.length))).slice(0, prefix.length + length);
}

function drawPrefix({ name, sharedPrefixes }: MixKind, random: Random): string {
  if (sharedPrefixes === undefined) {
    return '';
  }
  const which = Math.floor(random.next() * sharedPrefixes.count);
  const text = `prefix ${which} of ${name} `;
  const { characters } = sharedPrefixes;
  return text.repeat(Math.ceil(characters / text.length)).slice(0, characters);
}

function drawLength({ median, sigma, max }: Length, random: Random): number {
  const drawn = Math.round(median * Math.exp(sigma * drawNormal(random)));
  return Math.min(Math.max(1, drawn), max);
}

/** Box and Muller's transform of two uniform numbers. */
function drawNormal(random: Random): number {
  const radius = Math.sqrt(-2 * Math.log(1 - random.next()));
  return radius * Math.cos(2 * Math.PI * random.next());
}
