import type { Advice, AdviceRequest } from '@limelead/types';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import findStreamSlot from './find-stream-slot.js';
import { createAdmittedRequest, streamTo, TestBed } from './forwarding.fixture.js';
import RunReplicas from './run-replicas.js';
import type { Slot } from './slot-request.js';
import type { SlotRefusal } from './slot-refusal.js';

interface Found {
  slot: Slot | undefined;
  refusal: SlotRefusal | undefined;
}

/** Searches with a scheduler that gives the answers in order, and with a clock that timers advance. */
async function search(
  answers: Partial<Advice>[],
  request: { promptTokens?: number } = {},
): Promise<{
  asked: AdviceRequest[];
  lines: string[];
  found: Found[];
  replicaTarget: string | undefined;
}> {
  const bed = await TestBed.start(streamTo(1), streamTo(1));
  const asked: AdviceRequest[] = [];
  const lines: string[] = [];
  const found: Found[] = [];
  const admitted = createAdmittedRequest({ objectiveMs: 100 }, request);
  let now = admitted.receivedAtMs;
  const context = {
    ...bed.context,
    log: { ...bed.context.log, write: (event: string) => void lines.push(event) },
    clock: { now: () => now },
    timers: {
      after: (delayMs: number, run: () => void) => {
        now += delayMs;
        run();
        return () => undefined;
      },
    },
    requestAdvice: (question: AdviceRequest, receive: (advice: Advice) => void) => {
      asked.push(question);
      const answer = { outcome: 'no-target', ...answers.shift(), scheduler: 's', afterMs: 1 };
      receive(answer as Advice);
      return () => undefined;
    },
  };
  const replicas = new RunReplicas(context, admitted);
  findStreamSlot(context, admitted, replicas, {
    ...{ isFirstAttempt: true, hasWritten: false, onlyLeastLoaded: false, exclude: [] },
    onSlot: (slot, refusal) => void found.push({ slot, refusal }),
    onTooLate: () => undefined,
  });
  const slot = found[0]?.slot;
  const replicaTarget = slot && replicas.chooseReplicaTarget(slot)?.id;
  found.forEach((one) => one.slot?.release());
  await bed.stop();
  return { asked, lines, found, replicaTarget };
}

// Guards against a VM that places a run by its own load while the scheduler knows no room.
test('the scheduler is asked again while there is no room, and then for the last resort', async () => {
  const { asked, lines, found } = await search([
    ...[{ outcome: 'no-room' as const }, { outcome: 'no-room' as const }],
    { outcome: 'advised', target: 't2' },
  ]);
  assert.equal(
    asked.map(({ tokens, isLastResort }) => [tokens, isLastResort]),
    [
      [10, undefined],
      [10, undefined],
      [10, true],
    ],
  );
  assert.is(found[0]?.slot?.tracked.target.id, 't2');
  assert.equal(lines, ['target-advised', 'target-advised']);
});

test('a request of unknown size is asked for without tokens, and placed at once without advice', async () => {
  const { asked, found } = await search([{ outcome: 'no-room' }], { promptTokens: 0 });
  assert.equal(
    asked.map((question) => Object.keys(question).sort()),
    [['affinityKey', 'exclude', 'service']],
  );
  assert.is(found.length, 1);
});

// Guards against retries that are spent at targets that all reject the request.
test('a prompt larger than the memory of a target is refused at once', async () => {
  const { asked, found } = await search([], { promptTokens: 101 });
  assert.is(asked.length, 0);
  const refusal = found[0]?.refusal;
  assert.is(refusal?.kind, 'too-large');
  assert.ok((refusal?.retryAfterMs ?? 0) >= 1_000 && (refusal?.retryAfterMs ?? 0) < 2_000);
});

// Guards against replicas at targets whose memory only the scheduler knows.
test('a run that the scheduler advised without a replica target has none', async () => {
  const advised = { outcome: 'advised', target: 't1' } as const;
  assert.is((await search([advised])).replicaTarget, undefined);
  assert.is((await search([{ ...advised, copyTo: 't2' }])).replicaTarget, 't2');
  assert.is((await search([{ outcome: 'late' }])).replicaTarget, 't2');
});

test.run();
