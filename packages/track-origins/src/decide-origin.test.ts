import type { OriginEvidence, SeenVersion } from '@limelead/types';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import decideOrigin from './decide-origin.js';

const seen = (...versions: string[]): SeenVersion[] =>
  versions.map((softwareVersion) => ({ softwareVersion, agoMs: 0 }));

const MAX_AGE_MS = 2_000;
const ONE: OriginEvidence = { versions: seen('v1'), completeAgoMs: MAX_AGE_MS };
const TWO: OriginEvidence = { versions: seen('v1', 'v2'), completeAgoMs: MAX_AGE_MS };
const BEHIND: OriginEvidence = { versions: seen('v1'), completeAgoMs: MAX_AGE_MS + 1 };
/** Of a VM that knows nothing of the time before its start. */
const YOUNG: OriginEvidence = { versions: seen('v1') };

function decide(
  own: OriginEvidence,
  peers: OriginEvidence[] = [],
  { isLinkedToMost = true, isConfirmed = false } = {},
) {
  const lookup = decideOrigin({
    ...{ own, peers, isLinkedToMost, isConfirmed, maxAgeMs: MAX_AGE_MS },
  });
  return lookup.outcome === 'unknown' ? 'unknown' : `${lookup.outcome} ${lookup.softwareVersion}`;
}

test('what this VM or any peer knows decides', () => {
  assert.is(decide({ ...TWO, softwareVersion: 'v2' }), 'known v2');
  const peers = [TWO, { ...TWO, softwareVersion: 'v2' }];
  assert.is(decide(BEHIND, peers, { isLinkedToMost: false }), 'known v2');
});

test('a stream that nobody knows goes on at the only version', () => {
  assert.is(decide(ONE), 'only-version v1');
  assert.is(decide(BEHIND, [ONE], { isLinkedToMost: false }), 'only-version v1');
  assert.is(decide(BEHIND, [BEHIND]), 'only-version v1');
  assert.is(decide(YOUNG, [BEHIND]), 'only-version v1');
  assert.is(decide(YOUNG, [], { isConfirmed: true }), 'only-version v1');
});

test('a VM that may be behind the others does not guess', () => {
  assert.is(decide(BEHIND), 'unknown');
  assert.is(decide(BEHIND, [BEHIND], { isLinkedToMost: false }), 'unknown');
  assert.is(decide(ONE, [TWO]), 'unknown');
  assert.is(decide(TWO), 'unknown');
  assert.is(decide(TWO, [], { isConfirmed: true }), 'unknown');
  assert.is(decide({ versions: [], completeAgoMs: 0 }), 'unknown');
});

// VMs that had started together confirmed each other in what none of them could know.
test('VMs that know nothing of the time before their start do not guess together', () => {
  assert.is(decide(YOUNG), 'unknown');
  assert.is(decide(YOUNG, [YOUNG, YOUNG, YOUNG]), 'unknown');
  assert.is(decide(BEHIND, [YOUNG]), 'unknown');
  assert.is(decide(BEHIND, [BEHIND, YOUNG, YOUNG]), 'unknown');
});

test.run();
