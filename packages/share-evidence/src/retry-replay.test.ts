import { test } from 'uvu';
import * as assert from 'uvu/assert';
import replayDomainLosses from './retry-replay.fixture.js';

const FLEETS = [
  { vms: 30, domains: 4, streamsPerSecond: 33.5, oneWayMs: 0.5 },
  { vms: 71, domains: 3, streamsPerSecond: 19.6, oneWayMs: 1.4 },
];

// Guards against streams that wait for a retry while other VMs have budget to lend, and against
// loans that make the fleet exceed its budget although messages are lost.
for (const fleet of FLEETS) {
  test(`three domain losses in 10 s at ${fleet.vms} VMs: streams with a replica resume in time`, () => {
    const plan = { ...fleet, otherMovesPerSecond: 2, seed: 1 };
    const result = replayDomainLosses({ ...plan, rule: 'priority' });
    assert.is(result.replicaInTime, result.replicaBreaks);
    assert.ok(result.maxUse <= 1, `${result.maxUse} of the budget was used`);
  });

  test(`a nearly spent budget at ${fleet.vms} VMs serves more streams in time than polling`, () => {
    const plan = { ...fleet, otherMovesPerSecond: 15, seed: 1 };
    const before = replayDomainLosses({ ...plan, rule: 'polling' });
    const after = replayDomainLosses({ ...plan, rule: 'priority' });
    const share = ({ inTime, writtenBreaks }: typeof after): number => inTime / writtenBreaks;
    assert.ok(share(after) > share(before), `${share(before)} before, ${share(after)} after`);
    assert.ok(after.maxUse <= 1, `${after.maxUse} of the budget was used`);
  });
}

test.run();
