import { LimeleadError } from '@limelead/errors';
import { createManualTime } from '@limelead/stand-ins';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import RunRelocation from './run-relocation.js';
import type SlotSearch from './slot-search.js';
import type { SlotSearchEvents } from './slot-search.js';
import type { Slot } from './slot-request.js';

const SILENT_ATTEMPT = 1;
const NEXT_ATTEMPT = 2;
const slot = { tracked: { target: {} }, release: () => undefined } as unknown as Slot;
const findSlot = (events: SlotSearchEvents): void => events.onSlot(slot);

/** A relocation whose searches do what is given, in turn; the last one is repeated. */
function create(...results: ((events: SlotSearchEvents) => void)[]) {
  const { advance, timers } = createManualTime();
  const state = { searches: 0, cancelled: 0, slots: 0, accepted: 0, kept: [] as string[] };
  const relocation = new RunRelocation({
    ...{ timers, attempt: SILENT_ATTEMPT, startsBeside: true },
    createSearch: (events) => {
      const result = results[Math.min(state.searches, results.length - 1)];
      state.searches += 1;
      const search: Pick<SlotSearch, 'begin' | 'cancel'> = {
        begin: () => result?.(events),
        cancel: () => (state.cancelled += 1),
      };
      return search as SlotSearch;
    },
    onSlot: () => (state.slots += 1),
    onKept: (error) => state.kept.push(error?.kind ?? 'no target'),
    onAccepted: () => (state.accepted += 1),
  });
  relocation.begin();
  return { advance, relocation, state };
}

test('searches are repeated until one finds a slot', async () => {
  const { advance, state } = create(
    (events) => events.onRefused(new LimeleadError('overloaded', 'no retry')),
    (events) => events.onNoTarget(),
    findSlot,
  );
  assert.equal(state.kept, ['overloaded']);
  await advance(1_000);
  assert.is(state.searches, 3);
  assert.is(state.slots, 1);
  assert.equal(state.kept, ['overloaded'], 'reported once');
});

test('a silent run is given up once the next target accepts the request, or does not reject it in time', async () => {
  const answered = create(findSlot);
  answered.relocation.onAccepted(SILENT_ATTEMPT);
  assert.is(answered.state.accepted, 0);
  answered.relocation.onAccepted(NEXT_ATTEMPT);
  assert.is(answered.state.accepted, 1);
  const unanswered = create(findSlot);
  await unanswered.advance(199);
  assert.is(unanswered.state.accepted, 0);
  await unanswered.advance(2);
  assert.is(unanswered.state.accepted, 1);
  await unanswered.advance(1_000);
  unanswered.relocation.onAccepted(NEXT_ATTEMPT);
  assert.is(unanswered.state.accepted, 1, 'once');
});

test('a silent run stays when the next target rejects the request', async () => {
  const { advance, relocation, state } = create(findSlot, () => undefined);
  relocation.onNextFailed();
  await advance(1_000);
  assert.is(state.searches, 2);
  relocation.onAccepted(NEXT_ATTEMPT);
  assert.is(state.accepted, 0, 'no next attempt');
});

test('a run that writes again ends the search', async () => {
  const { advance, relocation, state } = create((events) => events.onNoTarget());
  relocation.cancel();
  await advance(1_000);
  assert.is(state.searches, 1);
  const waiting = create(() => undefined);
  waiting.relocation.cancel();
  assert.is(waiting.state.cancelled, 1);
});

test.run();
