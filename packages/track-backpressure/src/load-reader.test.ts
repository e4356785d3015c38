import type { DirectiveResponse } from '@limelead/types';
import { NO_DIRECTIVES } from '@limelead/types';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import LoadReader, { type FollowedLoad } from './load-reader.js';
import parseLoad from './parse-load.js';

test('three or four whole numbers are a load', () => {
  const load = { kind: 'load', running: 3, waiting: 0, slots: 6 };
  assert.equal(parseLoad('3,0,6'), { ...load, pacePercent: undefined });
  assert.equal(parseLoad('3,0,6,250'), { ...load, pacePercent: 250 });
  assert.equal(parseLoad(' 3, 0,6 ,250 '), { ...load, pacePercent: 250 });
  assert.equal(parseLoad(undefined), { kind: 'none' });
});

// Guards against placement by values that the target did not mean, and against long log lines.
test('anything else is unreadable', () => {
  const unreadable = [
    ...['', '3', '3,0', '3,0,6,', '3,0,6,250,1', '-1,0,6', '3,0,6,-5', '3,0,6,0', '1.5,0,6,100'],
    ...[
      'a,b,c',
      '1e3,0,6',
      '0x3,0,6',
      '3;0;6',
      '9999999,0,6',
      '3 0,0,6',
      '3,0,6,100000',
      '3,0,6,NaN',
    ],
  ];
  unreadable.forEach((text) => assert.is(parseLoad(text).kind, 'unreadable', text));
  const long = parseLoad('x'.repeat(10_000));
  assert.is(long.kind === 'unreadable' && long.text.length, 40);
});

// Guards against a deployment whose targets state three values being served in another way.
test('only a load with a pace is followed, and unreadable ones are logged within a limit', () => {
  const followed: [string, FollowedLoad][] = [];
  const lines: string[] = [];
  const counted: string[] = [];
  const reader = new LoadReader({
    clock: { now: () => 0 },
    log: { write: (event) => void lines.push(event) },
    metrics: { count: (_, __, labels) => void counted.push(labels?.['outcome'] ?? '') },
    onLoad: (target, load) => void followed.push([target, load]),
  });
  const respond = (text: string | undefined): void => {
    const directives = { ...NO_DIRECTIVES, load: parseLoad(text) };
    const response: DirectiveResponse = { target: 't', requestId: 'r', sentAtMs: 0, directives };
    reader.onResponse(response);
  };
  ['3,1,6', '3,1,6,250', undefined].forEach(respond);
  assert.equal(followed, [['t', { running: 3, waiting: 1, slots: 6, pacePercent: 250 }]]);
  assert.equal(counted, ['not-followed', 'followed']);
  Array.from({ length: 50 }, () => respond('soon'));
  assert.is(lines.filter((event) => event === 'target-load-unreadable').length, 20);
  assert.is(lines.filter((event) => event === 'target-load').length, 1);
});

test.run();
