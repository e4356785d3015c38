import fc from 'fast-check';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import AnswerBufferBudget, { type BufferedAnswer } from './answer-buffer-budget.js';

const SEED = 18;
const MAX_BYTES = 1_000;

interface TestAnswer extends BufferedAnswer {
  name: string;
}

function createAnswers(count: number): TestAnswer[] {
  return Array.from({ length: count }, (_, index) => ({ name: `a${index}`, countedBytes: 0 }));
}

// Guards against dropping the caller that happens to write while another one holds more.
test('when the limit is exceeded, the largest answers are dropped and the others stay', () => {
  const budget = new AnswerBufferBudget<TestAnswer>(MAX_BYTES);
  const [first, second, third, fourth, last] = createAnswers(5) as [
    TestAnswer,
    TestAnswer,
    TestAnswer,
    TestAnswer,
    TestAnswer,
  ];
  const sizes: [TestAnswer, number][] = [
    [first, 240],
    [second, 250],
    [third, 245],
    [fourth, 200],
  ];
  sizes.forEach(([answer, bytes]) => assert.equal(budget.record(answer, bytes), []));
  const dropped = budget.record(last, 100);
  assert.equal(
    dropped.map(({ answer, bytes, totalBytes }) => [answer.name, bytes, totalBytes]),
    [['a1', 250, 1_035]],
  );
  assert.is(budget.bufferedBytes, 785);
  assert.is(second.countedBytes, 0);
});

// Guards against one caller that takes the memory of all.
test('an answer above a quarter of the limit is dropped alone', () => {
  const budget = new AnswerBufferBudget<TestAnswer>(MAX_BYTES);
  const [small, large] = createAnswers(2) as [TestAnswer, TestAnswer];
  budget.record(small, 10);
  assert.equal(budget.record(large, 250), []);
  const dropped = budget.record(large, 251);
  assert.equal(
    dropped.map(({ answer }) => answer.name),
    ['a1'],
  );
  assert.is(budget.bufferedBytes, 10);
});

// Guards against bytes that stay counted after their answer is over.
test('released bytes can be used again, and a second release has no effect', () => {
  const budget = new AnswerBufferBudget<TestAnswer>(MAX_BYTES);
  const [answer] = createAnswers(1) as [TestAnswer];
  budget.record(answer, 200);
  budget.release(answer);
  budget.release(answer);
  assert.is(budget.bufferedBytes, 0);
});

// Guards against a total that drifts from its parts, and against drops without need.
test('the total is the sum of its answers and within the limit, whatever is recorded', () => {
  const steps = fc.array(
    fc.record({ index: fc.nat(9), bytes: fc.nat(400), isReleased: fc.boolean() }),
    { maxLength: 200 },
  );
  const property = fc.property(steps, (list) => {
    const budget = new AnswerBufferBudget<TestAnswer>(MAX_BYTES);
    const answers = createAnswers(10);
    for (const { index, bytes, isReleased } of list) {
      const answer = answers[index] as TestAnswer;
      if (isReleased) {
        budget.release(answer);
        continue;
      }
      const expected = budget.bufferedBytes - answer.countedBytes + bytes;
      const dropped = budget.record(answer, bytes);
      const isNeeded = bytes > MAX_BYTES / 4 || expected > MAX_BYTES;
      assert.is(dropped.length > 0, isNeeded);
      const kept = answers.map(({ countedBytes }) => countedBytes);
      const isFirstOversized = dropped[0]?.answer === answer && bytes > MAX_BYTES / 4;
      const largest = dropped.slice(isFirstOversized ? 1 : 0);
      largest.forEach((drop) => assert.ok(kept.every((size) => size <= drop.bytes)));
      assert.is(
        kept.reduce((sum, size) => sum + size, 0),
        budget.bufferedBytes,
      );
      assert.ok(budget.bufferedBytes <= MAX_BYTES);
    }
  });
  fc.assert(property, { seed: SEED, numRuns: 200 });
});

test.run();
