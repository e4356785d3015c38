import { test } from 'uvu';
import * as assert from 'uvu/assert';
import AnswerMeter, {
  MAX_FRAMING_BYTES,
  MAX_HEAD_BYTES,
  MAX_INTERIM_ANSWERS,
} from './answer-meter.js';

test('a body of any length is no excess, also in chunks of single bytes', () => {
  const meter = new AnswerMeter();
  meter.begin();
  meter.addTaken(200);
  meter.addHead(200);
  for (let chunk = 0; chunk < 200_000; chunk += 1) {
    meter.addTaken(6);
    meter.addBody(1);
  }
  meter.addTaken(1e9);
  meter.addBody(1e9);
  assert.is(meter.findExcess(), undefined);
});

test('each part has its limit', () => {
  const meter = new AnswerMeter();
  meter.begin();
  meter.addTaken(MAX_HEAD_BYTES);
  assert.is(meter.findExcess(), undefined);
  meter.addTaken(1);
  assert.is(meter.findExcess()?.part, 'head');
  meter.begin();
  meter.addHead(200);
  meter.addTaken(MAX_HEAD_BYTES + MAX_FRAMING_BYTES + 1);
  assert.is(meter.findExcess()?.part, 'framing');
  meter.begin();
  for (let answer = 0; answer <= MAX_INTERIM_ANSWERS; answer += 1) {
    assert.is(meter.findExcess(), undefined);
    meter.addHead(103);
  }
  assert.is(meter.findExcess()?.part, 'interim-answers');
});

test('the next answer on a connection is metered anew, and returned bytes do not count', () => {
  const meter = new AnswerMeter();
  meter.begin();
  meter.addTaken(MAX_HEAD_BYTES);
  meter.addTaken(-MAX_HEAD_BYTES);
  meter.addTaken(MAX_HEAD_BYTES);
  assert.is(meter.findExcess(), undefined);
  meter.begin();
  meter.addTaken(MAX_HEAD_BYTES);
  assert.is(meter.findExcess(), undefined);
});

test.run();
