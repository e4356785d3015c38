/** Runs the demonstration with every fault over real sockets; checks the records of callers and stand-ins. */
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { FAULT_NAMES, runDemo } from './index.js';

const REQUESTS = 12;

for (const fault of FAULT_NAMES) {
  test(`every guarantee holds under the fault ${fault}`, async () => {
    const report = await runDemo({ fault, seed: 11, requests: REQUESTS });
    assert.ok(report.promisesHeld, JSON.stringify(report));
    assert.is(report.tokensDelivered, report.tokensExpected);
    assert.is(report.requests, REQUESTS);
    assert.ok(fault === 'none' || report.faults.length > 0);
  });
}

test.run();
