import type { OriginEvidence, SeenVersion } from '@limelead/types';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import decideOrigin from './decide-origin.js';

const seen = (...versions: string[]): SeenVersion[] =>
  versions.map((softwareVersion) => ({ softwareVersion, agoMs: 0 }));

const ONE: OriginEvidence = { versions: seen('v1'), isFresh: true };
const TWO: OriginEvidence = { versions: seen('v1', 'v2'), isFresh: true };
const BEHIND: OriginEvidence = { versions: seen('v1'), isFresh: false };

function decide(own: OriginEvidence, peers: OriginEvidence[] = [], isLinkedToMost = true) {
  const lookup = decideOrigin({ own, peers, isLinkedToMost });
  return lookup.outcome === 'unknown' ? 'unknown' : `${lookup.outcome} ${lookup.softwareVersion}`;
}

test('what this VM or any peer knows decides', () => {
  assert.is(decide({ ...TWO, softwareVersion: 'v2' }), 'known v2');
  assert.is(decide(BEHIND, [TWO, { ...TWO, softwareVersion: 'v2' }], false), 'known v2');
});

test('a stream that nobody knows goes on at the only version', () => {
  assert.is(decide(ONE), 'only-version v1');
  assert.is(decide(BEHIND, [ONE], false), 'only-version v1');
  assert.is(decide(BEHIND, [BEHIND]), 'only-version v1');
});

test('a VM that may be behind the others does not guess', () => {
  assert.is(decide(BEHIND), 'unknown');
  assert.is(decide(BEHIND, [BEHIND], false), 'unknown');
  assert.is(decide(ONE, [TWO]), 'unknown');
  assert.is(decide(TWO), 'unknown');
  assert.is(decide({ versions: [], isFresh: true }), 'unknown');
});

test.run();
