import createMetrics from '@limelead/metrics';
import type { RequestedCooldown } from '@limelead/types';
import { NO_DIRECTIVES } from '@limelead/types';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { Backpressure } from './index.js';

/** Time, timers that run when it comes, and the lines that were written. */
function create(jitter = 0) {
  let now = 0;
  let timers: { atMs: number; run: () => void }[] = [];
  const lines: string[] = [];
  const listed = new Set(['t']);
  const left: string[] = [];
  const published: { targets: string[]; from: string | undefined }[] = [];
  const backpressure = new Backpressure({
    clock: { now: () => now },
    timers: {
      after: (milliseconds, run) => {
        timers.push({ atMs: now + milliseconds, run });
        return () => undefined;
      },
    },
    random: { next: () => jitter },
    log: { write: (event) => void lines.push(event) },
    metrics: createMetrics(),
    isListed: (target) => listed.has(target),
    onLeaving: (target) => void left.push(target),
    publish: (facts, from) => {
      published.push({ targets: facts.map(({ target }) => target), from });
    },
  });
  const respond = (cooldown: RequestedCooldown, sentAtMs = now): void =>
    backpressure.onResponse({
      ...{ target: 't', requestId: 'r', sentAtMs },
      directives: { ...NO_DIRECTIVES, cooldown },
    });
  return {
    backpressure,
    lines,
    listed,
    left,
    published,
    leave: (sentAtMs = now) =>
      backpressure.onResponse({
        ...{ target: 't', requestId: 'r', sentAtMs },
        directives: { ...NO_DIRECTIVES, isLeaving: true },
      }),
    respond,
    ask: (delayMs: number, sentAtMs = now) => respond({ kind: 'delay', delayMs }, sentAtMs),
    passTo: (atMs: number) => {
      now = atMs;
      const due = timers.filter((timer) => timer.atMs <= now);
      timers = timers.filter((timer) => timer.atMs > now);
      due.forEach(({ run }) => run());
    },
  };
}

test('a target is left alone until the end that it named', () => {
  const { backpressure, ask, passTo, lines } = create();
  assert.is(backpressure.coolingUntilMs('t'), undefined);
  ask(3_000);
  assert.is(backpressure.coolingUntilMs('t'), 3_000);
  assert.is(backpressure.coolingUntilMs('other'), undefined);
  passTo(2_999);
  assert.is(backpressure.coolingUntilMs('t'), 3_000);
  passTo(3_000);
  assert.is(backpressure.coolingUntilMs('t'), undefined);
  assert.equal(lines, ['target-cooldown', 'target-cooldown-over']);
});

test('a refusal with a shorter time, or without one, does not cut a cooldown short', () => {
  const { backpressure, ask, respond, passTo } = create();
  ask(6_000);
  passTo(10);
  ask(800);
  respond({ kind: 'none' });
  respond({ kind: 'unreadable', text: 'soon' });
  ask(0);
  assert.is(backpressure.coolingUntilMs('t'), 6_000);
  ask(6_000);
  assert.is(backpressure.coolingUntilMs('t'), 6_010);
});

test('the jitter only adds, a quarter of a second at most', () => {
  const short = create(1);
  short.ask(1_000);
  assert.is(short.backpressure.coolingUntilMs('t'), 1_100);
  const long = create(1);
  long.ask(7_200_000);
  assert.is(long.backpressure.coolingUntilMs('t'), 7_200_250);
});

test('the line at the end of a cooldown comes once, also behind hours', () => {
  const { ask, passTo, lines } = create();
  ask(2 * 3_600_000);
  passTo(3_600_000);
  assert.equal(lines, ['target-cooldown']);
  passTo(2 * 3_600_000);
  assert.equal(lines, ['target-cooldown', 'target-cooldown-over']);
});

test('a cooldown is forgotten a minute behind its end', () => {
  const { backpressure, ask, passTo } = create();
  assert.not(backpressure.isCoolingAny);
  ask(1_000);
  passTo(1_000);
  assert.ok(backpressure.isCoolingAny);
  passTo(61_000);
  assert.not(backpressure.isCoolingAny);
});

test('requests grow from one to all slots behind a cooldown', () => {
  const { backpressure, ask, passTo } = create();
  assert.is(backpressure.limitSlots('t', 6), 6);
  ask(1_000);
  const slots = [1_000, 1_400, 1_700, 2_000].map((atMs) => {
    passTo(atMs);
    return backpressure.limitSlots('t', 6);
  });
  assert.equal(slots, [1, 2, 4, 6]);
});

test('an answer to a request from the cooldown is an alarm, one that crossed is not', () => {
  const { ask, passTo, lines } = create();
  ask(3_000);
  passTo(100);
  ask(3_000, 40);
  assert.not(lines.includes('unwanted-send'));
  ask(3_000, 100);
  assert.ok(lines.includes('unwanted-send'));
});

test('a target that says that it leaves is told to all once', () => {
  const { backpressure, leave, left, published, lines } = create();
  assert.not(backpressure.isLeaving('t'));
  leave();
  leave();
  assert.ok(backpressure.isLeaving('t'));
  assert.equal([left, published], [['t'], [{ targets: ['t'], from: undefined }]]);
  assert.equal(lines, ['target-leaving-announced']);
  assert.equal(backpressure.listLeaving(), [{ target: 't', heardAtMs: 0 }]);
});

test('what a VM tells of leaving targets is passed on to the others, where it is new', () => {
  const { backpressure, left, published } = create();
  backpressure.onPeerUpdate('vm2', [{ target: 't', heardAtMs: -5 }]);
  backpressure.onPeerUpdate('vm3', [{ target: 't', heardAtMs: -9 }]);
  assert.equal([left, published], [['t'], [{ targets: ['t'], from: 'vm2' }]]);
});

test('an answer to a request from behind the first word of leaving is an alarm', () => {
  const { leave, passTo, lines } = create();
  leave();
  passTo(100);
  leave(50);
  assert.not(lines.includes('unwanted-send'));
  leave(51);
  assert.ok(lines.includes('unwanted-send'));
});

test('a leaving target is known while it is listed, and ten minutes behind that', () => {
  const { backpressure, leave, listed, passTo } = create();
  leave();
  passTo(3_600_000);
  backpressure.onPeerUpdate('vm2', [{ target: 'other', heardAtMs: 3_600_000 }]);
  assert.ok(backpressure.isLeaving('t'));
  listed.delete('t');
  backpressure.onPeerUpdate('vm2', [{ target: 'third', heardAtMs: 3_600_000 }]);
  assert.not(backpressure.isLeaving('t'));
  backpressure.onPeerUpdate('vm2', [{ target: 't', heardAtMs: 0 }]);
  assert.not(backpressure.isLeaving('t'));
});

test.run();
