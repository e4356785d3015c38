import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { GiveUpCause, MonitoredRun } from './monitored-run.js';
import { createMonitoredTargets, createTarget, type ProbeBehaviour } from './silence.fixture.js';

const target = createTarget('t1');

interface Setup {
  behaviour?: ProbeBehaviour;
  runs?: number;
  random?: () => number;
}

/** Creates a monitor with runs at one target whose silence limit is 200 ms. */
function create({ behaviour = 'answers', runs = 1, random = () => 0 }: Setup = {}) {
  const bed = createMonitoredTargets([target, createTarget('t2', 'south')], random);
  bed.state.behaviours.set('t1', behaviour);
  const causes: GiveUpCause[] = [];
  const monitored = Array.from({ length: runs }, (_, index): MonitoredRun => ({
    requestId: `r${index + 1}`,
    target,
    lastActivityAtMs: bed.clock.now(),
    startedAtMs: bed.clock.now() - 5_000,
    isWriting: true,
    missedProbes: 0,
    maxPauseMs: 700,
    maxSilenceMs: () => 200,
    onSilent: (cause) => causes.push(cause),
  }));
  monitored.forEach((run) => {
    bed.monitor.monitor(run);
    bed.state.listed.add(run.requestId);
  });
  const [run] = monitored;
  assert.ok(run);
  return { ...bed, causes, run };
}

/** Reports requests of a peer at the target. */
function addPeerRequests({ directory }: ReturnType<typeof create>): void {
  const load = { requests: 2, reading: 0, copies: 0, slowness: 1 };
  directory.onPeerLoad('p', { targets: new Map([['t1', load]]), advice: 0 });
}

test('all runs of a dark target are given up by one probe, within 450 ms of the last piece', async () => {
  const { advance, causes, state, lost } = create({ behaviour: 'dark', runs: 3 });
  await advance(195);
  assert.equal(state.probed, []);
  await advance(255);
  assert.equal(causes, ['target-lost', 'target-lost', 'target-lost']);
  assert.equal(state.probed, ['t1']);
  assert.equal([...new Set(lost)], ['t1']);
});

test('a refused probe is repeated once and then loses the target without waiting for the timeout', async () => {
  const { advance, causes, state } = create({ behaviour: 'refuses' });
  await advance(220);
  assert.equal(causes, ['target-lost']);
  assert.equal(state.probed, ['t1', 't1']);
});

test('one failed probe of a target that then answers loses nothing', async () => {
  const { advance, causes, state, lost } = create({ behaviour: 'refuses' });
  await advance(210);
  state.behaviours.set('t1', 'answers');
  await advance(100);
  assert.equal(state.probed, ['t1', 't1']);
  assert.equal(causes, []);
  assert.equal(lost, []);
});

test('a slow target that answers loses no run, is not suspected, and is probed every 250 ms at most', async () => {
  const { advance, causes, state, lost, directory } = create({ runs: 2 });
  await advance(1_300);
  assert.equal(causes, []);
  assert.equal(lost, []);
  assert.not(directory.isSuspected('t1'));
  assert.not(directory.isDomainSuspected('briefs', 'north'));
  assert.ok(state.probed.length >= 3 && state.probed.length <= 5, `${state.probed.length} probes`);
});

// Guards against a request that goes on elsewhere while its first target works on it.
test('a run that its target never resumes stays while the target lists it, and nothing is lost', async () => {
  const { advance, causes, lost, directory } = create();
  await advance(20_000);
  assert.equal(causes, []);
  assert.equal(lost, []);
  assert.not(directory.isSuspected('t1'));
});

test('a mute target, which answers without the run in two probes in a row, is left', async () => {
  const { advance, causes, state, lost } = create();
  state.listed.clear();
  await advance(250);
  assert.equal(causes, []);
  await advance(300);
  assert.equal(causes, ['not-listed']);
  assert.equal(lost, []);
});

test('a run that wrote while the probe was in progress is not missing from its answer', async () => {
  const { advance, causes, state, run, clock } = create();
  state.listed.clear();
  state.answerMs = 50;
  run.missedProbes = 1;
  await advance(240);
  run.lastActivityAtMs = clock.now();
  await advance(60);
  assert.equal(state.probed, ['t1']);
  assert.equal(causes, []);
});

test('a target with waiting requests may have preempted the run, so a missing entry says nothing', async () => {
  const { advance, causes, state } = create();
  state.listed.clear();
  state.waiting = 1;
  await advance(1_300);
  assert.equal(causes, []);
});

test('pieces that arrive during a failing probe show that the target is up', async () => {
  const { advance, causes, directory, run, clock, lost } = create({ behaviour: 'dark', runs: 2 });
  await advance(240);
  run.lastActivityAtMs = clock.now();
  directory.recordActivity('t1');
  await advance(100);
  assert.equal(causes, []);
  assert.equal(lost, []);
});

test('the answer of a peer spares the probe, and an own answer is published to peers', async () => {
  const bed = create({ random: () => 0.9 });
  addPeerRequests(bed);
  await bed.advance(212);
  assert.equal(bed.state.probed, [], 'the probe waits for the answers of peers');
  bed.directory.onPeerProbeAnswers([{ target: 't1', atMs: bed.clock.now() }]);
  await bed.advance(180);
  assert.equal(bed.state.probed, []);
  await bed.advance(120);
  assert.equal(bed.state.probed, ['t1']);
  assert.equal(bed.state.published, ['t1']);
});

test('no answer is published while no other VM has requests at the target', async () => {
  const { advance, state } = create();
  await advance(300);
  assert.equal(state.probed, ['t1']);
  assert.equal(state.published, []);
});

test('a probe for a run that reads its prompt does not delay the loss of a dark target to a run that writes', async () => {
  const bed = create({ behaviour: 'dark' });
  bed.monitor.monitor({
    ...bed.run,
    requestId: 'reader',
    isWriting: false,
    lastActivityAtMs: bed.clock.now() - 1_320,
    startedAtMs: bed.clock.now() - 1_320,
    maxSilenceMs: () => 5_000,
  });
  await bed.advance(175);
  assert.equal(bed.state.probed, [], 'the last piece at the target is too recent');
  bed.run.lastActivityAtMs = bed.clock.now() - 150;
  await bed.advance(190);
  assert.equal(bed.causes, ['target-lost', 'target-lost']);
});

test('after a stall of the process, buffered pieces are read before runs are given up', async () => {
  const { clock, advance, jump, run, causes, state } = create({ behaviour: 'dark' });
  await advance(60);
  jump(400);
  await advance(1);
  assert.equal(state.probed, []);
  run.lastActivityAtMs = clock.now();
  await advance(100);
  assert.equal(causes, []);
});

test('a timeout that a stall of the process delayed is no answer; the target is probed again', async () => {
  const { advance, jump, causes, state } = create({ behaviour: 'dark' });
  await advance(215);
  assert.equal(state.probed, ['t1']);
  state.behaviours.set('t1', 'answers');
  jump(300);
  await advance(20);
  assert.equal(causes, []);
  assert.equal(state.probed, ['t1', 't1']);
});

test('an answer that a stall of the process hid until the timeout is read before runs are given up', async () => {
  const { advance, causes, state } = create();
  // Timers run before sockets are read, so such an answer comes right after the timeout of 105 ms.
  state.answerMs = 106;
  await advance(600);
  assert.equal(causes, []);
  state.answerMs = 108;
  await advance(400);
  assert.equal(causes, ['target-lost']);
});

test('each decision leaves a line with its inputs and a count by outcome', async () => {
  const { advance, lines, metrics } = create({ behaviour: 'dark' });
  await advance(400);
  const judged = lines.filter(({ event }) => event === 'silence-judged');
  assert.equal(
    judged.map(({ outcome }) => outcome),
    ['suspected', 'target-lost'],
  );
  assert.equal(judged[0], {
    event: 'silence-judged',
    requestId: 'r1',
    target: 't1',
    silentMs: 210,
    limitMs: 200,
    probedAgoMs: undefined,
    answeredAgoMs: undefined,
    peerAnsweredAgoMs: undefined,
    pace: 1,
    outcome: 'suspected',
  });
  assert.is(metrics.counterValue('limelead_silences_total', { outcome: 'target-lost' }), 1);
});

// Guards against state that grows with each target which is replaced while it is probed.
test('the answer of a target that was removed during its probe leaves no state', async () => {
  const { advance, directory, state, clock } = create();
  await advance(211);
  assert.equal(state.probed, ['t1']);
  directory.replaceAll([createTarget('t2', 'south')]);
  await advance(10);
  assert.is(directory.probeAnswers.ownAgeMs('t1', clock.now()), Infinity);
});

test.run();
