import { readFileSync } from 'node:fs';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import renderCapacity from './render-capacity.js';
import fitSlope, { type Slope } from './slope.js';

const DOCS = new URL('../../../../docs/', import.meta.url);

test('the capacity page matches the measured slopes', () => {
  const slopes = JSON.parse(
    readFileSync(new URL('measurements/capacity.json', DOCS), 'utf8'),
  ) as Slope[];
  assert.is(readFileSync(new URL('CAPACITY.md', DOCS), 'utf8'), renderCapacity(slopes));
});

test('every slope has at least four sizes and one value for each', () => {
  const slopes = JSON.parse(
    readFileSync(new URL('measurements/capacity.json', DOCS), 'utf8'),
  ) as Slope[];
  assert.ok(
    slopes.every(({ sizes, values }) => sizes.length >= 4 && values.length === sizes.length),
  );
});

test('the fit through collinear points is exact', () => {
  const { slope, intercept, fit } = fitSlope('x', 'y', 'ms', [
    [1, 5],
    [2, 7],
    [3, 9],
  ]);
  assert.equal([slope, intercept, fit], [2, 3, 1]);
});

test.run();
