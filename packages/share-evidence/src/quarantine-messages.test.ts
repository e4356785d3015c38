import { createQuarantineUpdate } from '@limelead/quarantine-requests';
import * as E from 'fp-ts/lib/Either.js';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import {
  decodeQuarantineUpdate,
  encodeQuarantineUpdate,
  quarantineUpdateCodec,
} from './quarantine-messages.js';

const crash = {
  ...{ request: 'r', service: 'llm', caller: 'c', target: 't1' },
  ...{ startedAtMs: 900, endedAtMs: 950 },
};
const scope = { service: 'llm', version: 'v1' };

/** Sends an update from a VM whose clock shows 1,000 to one whose clock shows 5,000. */
function transmit(update: Parameters<typeof createQuarantineUpdate>[0]) {
  const message = encodeQuarantineUpdate(createQuarantineUpdate(update), 1_000);
  const received = quarantineUpdateCodec.decode(JSON.parse(JSON.stringify(message)));
  return E.isRight(received) ? decodeQuarantineUpdate(received.right, 5_000) : undefined;
}

test('an update keeps its ages, and the software that crashed or ran the request', () => {
  const crashes = [crash, { ...crash, target: 't2', version: 'v1', mayBeCoincidence: true }];
  const received = transmit({ crashes, cleared: [{ request: 'r', scope, atMs: 990 }] });
  const moved = { startedAtMs: 4_900, endedAtMs: 4_950 };
  assert.equal(
    received?.crashes,
    crashes.map((one) => ({ ...one, ...moved })),
  );
  assert.equal(received?.cleared, [{ request: 'r', scope, atMs: 4_990 }]);
});

test('a clearance of an earlier release holds for all software', () => {
  const received = transmit({ cleared: [{ request: 'r', scope: undefined, atMs: 990 }] });
  assert.equal(received?.cleared, [{ request: 'r', scope: undefined, atMs: 4_990 }]);
});

test.run();
