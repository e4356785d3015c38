import { test } from 'uvu';
import * as assert from 'uvu/assert';
import RepeatDetector from './repeat-detector.js';

test('an equal request is a repeat for ten seconds, at any VM', () => {
  const detector = new RepeatDetector();
  const isRepeat = (hash: string, number: number, vm: string, now: number): boolean =>
    detector.isRepeat({ hash, number }, vm, now);
  assert.not(isRepeat('h', 1, 'a', 0));
  assert.not(isRepeat('other', 2, 'a', 0));
  assert.ok(isRepeat('h', 3, 'a', 10));
  assert.ok(isRepeat('h', 1, 'b', 10_000));
  assert.not(isRepeat('h', 4, 'a', 20_001));
});

test('a further attempt of a request is no repeat of itself', () => {
  const detector = new RepeatDetector();
  const mark = { hash: 'h', number: 1 };
  assert.not(detector.isRepeat(mark, 'a', 0));
  assert.not(detector.isRepeat(mark, 'a', 100));
});

test('the number of remembered requests is bounded, and old ones are forgotten', () => {
  const detector = new RepeatDetector();
  for (let number = 0; number < 10_000; number += 1) {
    detector.isRepeat({ hash: `h${number}`, number }, 'a', 0);
  }
  assert.is(detector.size, 8_192);
  detector.isRepeat({ hash: 'new', number: 0 }, 'a', 10_001);
  assert.is(detector.size, 1);
});

test.run();
