import * as E from 'fp-ts/lib/Either.js';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { readFileSync } from 'node:fs';
import { fileURLToPath } from 'node:url';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { decodeMix, planArrivals, type Mix } from './index.js';

const EXAMPLE = fileURLToPath(new URL('../../../examples/mix.jsonc', import.meta.url));

function createSeededRandom(seed: number) {
  const generator = xoroshiro128plus(seed);
  return { next: () => uniformFloat64(generator) };
}

function readExample(): Mix {
  const mix = decodeMix(EXAMPLE, readFileSync(EXAMPLE, 'utf8'));
  assert.ok(E.isRight(mix));
  return mix.right;
}

test('the same seed plans the same load', () => {
  const mix = readExample();
  assert.equal(
    planArrivals(mix, createSeededRandom(1), 'x'),
    planArrivals(mix, createSeededRandom(1), 'x'),
  );
});

test('arrivals follow the rate, the shares and the length limits of the mix', () => {
  const mix = { ...readExample(), requestsPerSecond: 1_000, durationMs: 10_000 };
  const arrivals = planArrivals(mix, createSeededRandom(2), 'x');
  assert.ok(Math.abs(arrivals.length - 10_000) < 400, `${arrivals.length}`);
  const total = mix.kinds.reduce((sum, { share }) => sum + share, 0);
  for (const kind of mix.kinds) {
    const ofKind = arrivals.filter((arrival) => arrival.kind === kind);
    assert.ok(Math.abs(ofKind.length / arrivals.length - kind.share / total) < 0.03, kind.name);
    const { maxTokens } = kind;
    if (maxTokens !== undefined) {
      assert.ok(ofKind.every((arrival) => arrival.maxTokens <= maxTokens.max));
    }
  }
});

test('a surge multiplies the rate of its kind, and arrivals follow the shares of the failure domains', () => {
  const example = readExample();
  const mix: Mix = {
    ...example,
    requestsPerSecond: 1_000,
    durationMs: 20_000,
    surges: [{ fromMs: 10_000, toMs: 20_000, factor: 3, kind: 'brief' }],
    places: [
      { failureDomain: 'north', share: 3 },
      { failureDomain: 'south', share: 1 },
    ],
  };
  const arrivals = planArrivals(mix, createSeededRandom(3), 'x');
  const count = (kind: string, isInSurge: boolean): number =>
    arrivals.filter((arrival) => arrival.kind.name === kind && arrival.atMs >= 10_000 === isInSurge)
      .length;
  assert.ok(Math.abs(count('brief', true) / count('brief', false) - 3) < 0.2);
  assert.ok(Math.abs(count('prompt', true) / count('prompt', false) - 1) < 0.1);
  const north = arrivals.filter(({ failureDomain }) => failureDomain === 'north');
  assert.ok(Math.abs(north.length / arrivals.length - 0.75) < 0.02);
});

test('the error for an invalid mix names the line', () => {
  const mix = decodeMix('m.jsonc', '{"requestsPerSecond": 0,\n"durationMs": 1, "kinds": []}');
  assert.ok(E.isLeft(mix));
  assert.match(mix.left.message, /^m\.jsonc:1: requestsPerSecond: expected a number above 0/);
});

test.run();
