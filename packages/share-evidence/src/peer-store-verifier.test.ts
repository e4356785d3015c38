import { test } from 'uvu';
import * as assert from 'uvu/assert';
import PeerStoreVerifier, { type AdvertisedStoreMarks } from './peer-store-verifier.js';

const SEEDS = ['s1', 's2', 's3'];

/** Creates a VM with links to the seeds and to "other". */
function create(own: number[]) {
  const time = { now: 0 };
  const foreignPeers: string[] = [];
  const verifier = new PeerStoreVerifier({
    clock: { now: () => time.now },
    store: 'store:1',
    seeds: SEEDS,
    readStoreMarks: () => own,
    onForeignPeer: (peer) => foreignPeers.push(peer),
  });
  [...SEEDS, 'other'].forEach((peer) => verifier.add(peer));
  const advertise = (peer: string, marks: number[], store = 'elsewhere:1'): void =>
    verifier.onMarks(peer, { store, marks, isUnsure: true });
  return { verifier, foreignPeers, advertise, time, own };
}

test('a peer with a common mark is trusted, a peer without one is not, whatever store address it reports', () => {
  const { verifier, advertise } = create([1, 2, 3]);
  advertise('s1', [3, 4]);
  advertise('s2', [7, 8], 'store:1');
  assert.ok(verifier.isTrusted('s1'));
  assert.not.ok(verifier.isTrusted('s2'));
  assert.not.ok(verifier.isTrusted('s3'), 'it reported no marks');
});

test('a VM without an answer from the store trusts peers with its store address, and seeds that confirm each other', () => {
  const { verifier, advertise } = create([]);
  advertise('other', [7], 'store:1');
  assert.ok(verifier.isTrusted('other'));
  advertise('other', [7]);
  advertise('s1', [7]);
  assert.not.ok(verifier.isTrusted('s1'), 'the peer that confirms it is not a seed');
  advertise('s2', [7, 8]);
  assert.ok(verifier.isTrusted('s1') && verifier.isTrusted('s2'));
  assert.not.ok(verifier.isTrusted('other'));
});

test('a peer may share a mark within the timeout; after it the peer counts as foreign', () => {
  const { verifier, foreignPeers, advertise, time } = create([2]);
  advertise('s1', [1]);
  advertise('s2', [9]);
  verifier.findForeignPeers();
  time.now = 3_900;
  advertise('s1', [1, 2]);
  verifier.findForeignPeers();
  time.now = 4_000;
  assert.equal(verifier.findForeignPeers(), ['s2']);
  assert.equal(foreignPeers, ['s2']);
  assert.ok(verifier.isKnownForeign('s2') && !verifier.isKnownForeign('s1'));
  time.now = 34_000;
  assert.not.ok(verifier.isKnownForeign('s2'), 'the foreign state expires');
});

test('marks are sent until both ends are sure, and again after one end was reset', () => {
  const ends = { a: create([1]).verifier, b: create([1]).verifier };
  const exchange = (
    from: PeerStoreVerifier,
    to: PeerStoreVerifier,
  ): AdvertisedStoreMarks | undefined => {
    const marks = from.composeMarks('s1');
    to.onMarks('s1', marks);
    to.isTrusted('s1');
    return marks;
  };
  assert.equal(exchange(ends.a, ends.b)?.marks, [1]);
  assert.ok(exchange(ends.b, ends.a), 'the other end is still unsure');
  exchange(ends.a, ends.b);
  assert.is(exchange(ends.b, ends.a), undefined);
  assert.is(exchange(ends.a, ends.b), undefined);
  ends.a.reset();
  assert.ok(exchange(ends.a, ends.b)?.isUnsure);
  assert.ok(exchange(ends.b, ends.a), 'the other end is unsure');
  assert.ok(ends.a.isTrusted('s1'));
});

test.run();
