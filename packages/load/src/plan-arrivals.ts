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
}

/** Plans Poisson arrivals over the duration of the mix. */
export default function planArrivals(mix: Mix, random: Random, idPrefix: string): Arrival[] {
  const arrivals: Arrival[] = [];
  let atMs = drawPause(mix, random);
  while (atMs < mix.durationMs) {
    const kind = drawKind(mix.kinds, random);
    const index = arrivals.length;
    arrivals.push({
      atMs,
      requestId: `${idPrefix}-${index}`,
      kind,
      prompt: drawPrompt(kind, index, random),
      maxTokens: drawLength(kind.maxTokens ?? DEFAULT_TOKENS, random),
    });
    atMs += drawPause(mix, random);
  }
  return arrivals;
}

function drawPause({ requestsPerSecond }: Mix, random: Random): number {
  return (-Math.log(1 - random.next()) * 1000) / requestsPerSecond;
}

function drawKind(kinds: readonly MixKind[], random: Random): MixKind {
  const total = kinds.reduce((sum, { share }) => sum + share, 0);
  let left = random.next() * total;
  for (const kind of kinds) {
    left -= kind.share;
    if (left < 0) {
      return kind;
    }
  }
  throw new Error('a mix needs at least one kind');
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
