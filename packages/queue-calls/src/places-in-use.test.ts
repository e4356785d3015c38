import { test } from 'uvu';
import * as assert from 'uvu/assert';
import PlacesInUse from './places-in-use.js';

function countAt(places: PlacesInUse, target: string): number {
  return places.countByTarget().get(target) ?? 0;
}

test('a grant on its way counts beside a report that does not include it', () => {
  const places = new PlacesInUse();
  places.recordGrant('a', { number: 1, want: 1, target: 't', atMs: 0 });
  places.recordGrant('a', { number: 2, want: 2, target: 't', atMs: 0 });
  places.report('a', [['t', 1]], 1, 10);
  assert.is(countAt(places, 't'), 2);
  assert.ok(places.isGranted('a', 2, 1));
  places.report('a', [['t', 2]], 2, 20);
  assert.is(countAt(places, 't'), 2);
  assert.not(places.isGranted('a', 2, 2));
});

test('a lost release is implied by the next report', () => {
  const places = new PlacesInUse();
  places.recordGrant('a', { number: 1, want: 1, target: 't', atMs: 0 });
  places.report('a', [['t', 1]], 1, 10);
  places.report('a', [], 1, 200);
  assert.is(countAt(places, 't'), 0);
});

test('a release before the first report ends the grant, and a second one nothing more', () => {
  const places = new PlacesInUse();
  places.recordGrant('a', { number: 1, want: 1, target: 't', atMs: 0 });
  places.release('a', 't');
  places.release('a', 't');
  places.release('b', 't');
  assert.is(countAt(places, 't'), 0);
});

test('a grant that no report includes is reclaimed after half a second', () => {
  const places = new PlacesInUse();
  places.recordGrant('a', { number: 1, want: 1, target: 't', atMs: 0 });
  places.reclaim(499);
  assert.is(countAt(places, 't'), 1);
  places.reclaim(500);
  assert.is(countAt(places, 't'), 0);
});

test('the places of a lost VM and of a lost target end', () => {
  const places = new PlacesInUse();
  places.report('a', [['t', 2], ['u', 1]], 0, 0); // prettier-ignore
  places.recordGrant('b', { number: 1, want: 1, target: 't', atMs: 0 });
  places.retain(new Set(['t']));
  assert.equal([...places.countByTarget()], [['t', 3]]);
  places.forget('a');
  assert.is(countAt(places, 't'), 1);
});

test.run();
