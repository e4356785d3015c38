import { createManualTime } from '@limelead/stand-ins';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { TargetState } from './crash-evidence.js';
import type GuardedRequest from './guarded-request.js';
import type GuardedRun from './guarded-run.js';
import createIsolatedGuard from './isolated-guard.js';
import type { Admission } from './trial-queue.js';

const REQUEST = { organisation: 'o', host: 'h', method: 'POST', path: '/a', body: Buffer.alloc(0) };
/** Crashes after which a request is suspected. */
const CRASHES = 2;
/** Longer than a trial lasts after its run is abandoned. */
const ABANDONED_MS = 3_500;

/** One VM. A run at a target whose id begins with "up" breaks without the end of the target. */
class TestVm {
  private readonly time = createManualTime();
  private readonly guard = createIsolatedGuard({
    ...this.time,
    log: { write: () => undefined },
    metrics: { count: () => undefined },
    checkTarget: (id): Promise<TargetState> =>
      Promise.resolve(id.startsWith('up') ? 'running' : 'ended'),
  });

  guardRequest(): GuardedRequest {
    return this.guard.guardRequest({
      ...{ request: REQUEST, route: 'r', requestId: 'id' },
      onQuarantined: () => undefined,
    });
  }

  async suspect(): Promise<void> {
    for (let crash = 1; crash <= CRASHES; crash += 1) {
      const copy = this.guardRequest();
      copy.startRun({ id: `t${crash}`, service: 's' }).recordBroken();
      await this.advance(1);
      copy.close();
    }
  }

  /** Requests admission for a further copy; the list holds the answer. */
  requestAdmission(copy = this.guardRequest()): Admission[] {
    const admissions: Admission[] = [];
    copy.requestAdmission((admission) => admissions.push(admission));
    return admissions;
  }

  advance(milliseconds: number): Promise<void> {
    return this.time.advance(milliseconds);
  }
}

const ends: Record<string, (run: GuardedRun) => void> = {
  'is given up': (run) => run.abandon(),
  breaks: (run) => run.recordBroken(),
  fails: (run) => run.recordAnswer(false),
};

for (const [name, end] of Object.entries(ends)) {
  test(`a trial ends with the run that it replaces, which ${name}`, async () => {
    const vm = new TestVm();
    const request = vm.guardRequest();
    const silent = request.startRun({ id: 'up1', service: 's' });
    await vm.suspect();
    const admissions = vm.requestAdmission(request);
    await vm.advance(1);
    assert.equal(admissions, ['send-trial']);
    const trial = request.startRun({ id: 'up2', service: 's' });
    end(silent);
    const others = vm.requestAdmission();
    await vm.advance(ABANDONED_MS);
    assert.equal(others, [], 'another copy runs beside the trial');
    trial.recordNotRun();
    await vm.advance(1);
    assert.equal(others, ['send-trial']);
  });
}

test('a trial that has not started outlives its request while a broken run is checked', async () => {
  const vm = new TestVm();
  const request = vm.guardRequest();
  const silent = request.startRun({ id: 'up1', service: 's' });
  await vm.suspect();
  vm.requestAdmission(request);
  await vm.advance(1);
  silent.recordBroken();
  request.close();
  const others = vm.requestAdmission();
  await vm.advance(1);
  assert.equal(others, ['send-trial']);
});

test('the trial of a search that was cancelled holds other copies', async () => {
  const vm = new TestVm();
  await vm.suspect();
  const request = vm.guardRequest();
  let admission: Admission | undefined;
  const cancel = request.requestAdmission((given) => (admission = given));
  await vm.advance(1);
  assert.is(admission, 'send-trial');
  cancel();
  const others = vm.requestAdmission();
  await vm.advance(1);
  assert.equal(others, ['send-trial']);
});

test('a request that searches again waits for its own trial, which has not started', async () => {
  const vm = new TestVm();
  await vm.suspect();
  const request = vm.guardRequest();
  vm.requestAdmission(request);
  await vm.advance(1);
  const admissions = vm.requestAdmission(request);
  await vm.advance(1);
  assert.equal(admissions, ['send-trial']);
});

test.run();
