import { LimeleadError } from '@limelead/errors';
import { createManualTime } from '@limelead/stand-ins';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import RunRelocation from './run-relocation.js';
import type SlotSearch from './slot-search.js';
import type { SlotSearchEvents } from './slot-search.js';
import type { Slot } from './slot-request.js';

const slot = { release: () => undefined } as unknown as Slot;

/** A relocation whose searches do what is given, in turn; the last one is repeated. */
function create(...results: ((events: SlotSearchEvents) => void)[]) {
  const { advance, timers } = createManualTime();
  const state = { searches: 0, cancelled: 0, slots: [] as Slot[], kept: [] as string[] };
  const relocation = new RunRelocation({
    timers,
    createSearch: (events) => {
      const result = results[Math.min(state.searches, results.length - 1)];
      state.searches += 1;
      const search: Pick<SlotSearch, 'begin' | 'cancel'> = {
        begin: () => result?.(events),
        cancel: () => (state.cancelled += 1),
      };
      return search as SlotSearch;
    },
    onSlot: (found) => state.slots.push(found),
    onKept: (error) => state.kept.push(error?.kind ?? 'no target'),
  });
  return { advance, relocation, state };
}

test('a silent run is left at the first slot, after searches that found none', async () => {
  const { advance, relocation, state } = create(
    (events) => events.onRefused(new LimeleadError('overloaded', 'no retry')),
    (events) => events.onNoTarget(),
    (events) => events.onSlot(slot),
  );
  relocation.begin();
  assert.equal(state.kept, ['overloaded']);
  await advance(1_000);
  assert.is(state.searches, 3);
  assert.equal(state.slots, [slot]);
  assert.equal(state.kept, ['overloaded'], 'reported once');
});

test('a run that writes again ends the search', async () => {
  const { advance, relocation, state } = create((events) => events.onNoTarget());
  relocation.begin();
  relocation.cancel();
  await advance(1_000);
  assert.is(state.searches, 1);
  const waiting = create(() => undefined);
  waiting.relocation.begin();
  waiting.relocation.cancel();
  assert.is(waiting.state.cancelled, 1);
});

test.run();
