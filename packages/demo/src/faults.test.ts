/** Runs the demonstration with every fault over real sockets; checks the records of callers and stand-ins. */
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { FAULT_NAMES, runDemo, type FaultName } from './index.js';

const REQUESTS = 12;

type Report = Awaited<ReturnType<typeof runDemo>>;

const reports = new Map<FaultName, Report>();

// The clusters run side by side, since each of them waits most of the time.
test.before(async () => {
  await Promise.all(
    FAULT_NAMES.map(async (fault) => {
      reports.set(fault, await runDemo({ fault, seed: 11, requests: REQUESTS }));
    }),
  );
});

for (const fault of FAULT_NAMES) {
  test(`every guarantee holds under the fault ${fault}`, () => {
    const report = reports.get(fault);
    assert.ok(report?.promisesHeld, JSON.stringify(report));
    assert.is(report.tokensDelivered, report.tokensExpected);
    assert.is(report.requests, REQUESTS);
    assert.ok(fault === 'none' || report.faults.length > 0);
  });
}

test.run();
