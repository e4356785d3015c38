/** Order of the requests that wait at one VM by fair shares, and the detection of repeats. */
import { createLocality } from '@limelead/locality';
import { TargetDirectory } from '@limelead/track-service-targets';
import type { WaitingCallQueue } from '@limelead/types';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { NO_CALL_QUEUES } from './call-places.js';
import { createAdmittedRequest } from './forwarding.fixture.js';
import type { AdmittedRequest } from './admitted-request.js';
import { NO_SHARES, type RequestShares } from './request-shares.js';
import SlotQueue from './slot-queue.js';
import type { Slot } from './slot-request.js';
import { NO_RATE_LIMITS } from './send-permits.js';
import { NO_BACKPRESSURE } from './target-backpressure.js';
import { OPEN_GATE } from './target-gate.js';

const clock = { now: () => 0 };

/** A request of an organisation; equal ones have the same path and body. */
function admit(
  organisation: string,
  path: string,
  body: Buffer = Buffer.from('in'),
): AdmittedRequest {
  const admitted = createAdmittedRequest();
  const request = { ...admitted.request, path, body };
  return { ...admitted, organisation, service: 's', request };
}

/** A queue with one target of one slot; `served` lists the paths in the order of service. */
function create(shares: Partial<RequestShares> = {}) {
  const directory = new TargetDirectory(clock);
  const address = { host: 'h', port: 1, failureDomain: 'd' };
  directory.replaceAll([{ id: 't', service: 's', ...address, slots: 1, leaving: false }]);
  const attached: WaitingCallQueue[] = [];
  const queue = new SlotQueue({
    ...{ clock, directory, gate: OPEN_GATE, permits: NO_RATE_LIMITS, failureDomain: 'd' },
    timers: { after: () => () => undefined },
    locality: createLocality({ failureDomain: 'd', regionOf: {} }),
    limit: ({ target }) => target.slots,
    backpressure: NO_BACKPRESSURE,
    random: { next: () => 0 },
    places: { ...NO_CALL_QUEUES, attach: (waiting) => void attached.push(waiting) },
    shares: { ...NO_SHARES, ...shares },
  });
  const served: string[] = [];
  let slot: Slot | undefined;
  const acquire = (admitted: AdmittedRequest, rank = 1, untilMs = 1_000): void => {
    const requestId = admitted.request.path;
    const base = { requestId, service: 's', affinityKey: 'k', exclude: new Set<string>() };
    queue.acquire({ ...base, admitted, rank, untilMs }, (acquired) => {
      served.push(requestId);
      slot = acquired;
    });
  };
  const serveAll = (): void => {
    while (queue.waiting > 0) {
      slot?.release();
    }
  };
  return { acquire, serveAll, served, listWaiting: () => attached[0]?.list('s') ?? [] };
}

test('waiting requests are ordered by rank, repeats last, fair share and deadline', () => {
  const excessOf = ({ organisation }: AdmittedRequest): number =>
    organisation === 'large' ? 3 : organisation === 'larger' ? 9 : 0;
  const { acquire, serveAll, served } = create({ excessOf });
  acquire(admit('a', 'first'));
  acquire(admit('larger', 'larger'));
  acquire(admit('large', 'large'));
  acquire(admit('a', 'repeated'), 1, 900);
  acquire(admit('a', 'repeated'), 1, 800);
  acquire(admit('a', 'later'));
  acquire(admit('larger', 'urgent'), 0);
  serveAll();
  const order = ['first', 'urgent', 'repeated', 'later', 'large', 'larger', 'repeated'];
  assert.equal(served, order);
});

test('a free slot is given to an organisation above its share', () => {
  const { acquire, served } = create({ excessOf: () => 100 });
  acquire(admit('large', 'first'));
  assert.equal(served, ['first']);
});

test('a request that gets a slot at once is not hashed, and waits are recorded', () => {
  const waits: string[] = [];
  const recordWait = ({ request }: AdmittedRequest): void => void waits.push(request.path);
  const { acquire, listWaiting } = create({ recordWait });
  let reads = 0;
  const body = Buffer.from('in');
  const count = (admitted: AdmittedRequest): AdmittedRequest => ({
    ...admitted,
    request: {
      ...admitted.request,
      get body() {
        reads += 1;
        return body;
      },
    },
  });
  acquire(count(admit('a', 'first')));
  assert.is(reads, 0);
  acquire(count(admit('a', 'second')));
  assert.ok(reads > 0);
  assert.equal(waits, ['second']);
  assert.match(listWaiting()[0]?.mark?.hash ?? '', /^[0-9a-f]{16}$/);
});

test('equal requests of open routes, whose callers are unknown, are no repeats', () => {
  const { acquire, listWaiting } = create();
  for (let count = 0; count < 3; count += 1) {
    acquire({ ...admit('', 'same'), organisation: undefined });
  }
  assert.equal(
    listWaiting().map(({ isRepeat, mark }) => [isRepeat, mark]),
    [
      [false, undefined],
      [false, undefined],
    ],
  );
});

test('a further attempt of a request is no repeat of itself', () => {
  const { acquire, listWaiting } = create();
  acquire(admit('a', 'first'));
  const admitted = admit('a', 'second');
  acquire(admitted);
  acquire(admitted);
  assert.equal(
    listWaiting().map(({ isRepeat }) => isRepeat),
    [false, false],
  );
});

test('long bodies that differ in length, beginning or end are different requests', () => {
  const { acquire, listWaiting } = create();
  acquire(admit('a', 'first'));
  const bodyOf = (length: number, at = 0): Buffer => {
    const body = Buffer.alloc(length);
    body[at] = 1;
    return body;
  };
  const bodies = [bodyOf(50_000), bodyOf(50_001), bodyOf(50_000, 1), bodyOf(50_000, 49_999)];
  bodies.forEach((body) => acquire(admit('a', 'long', body)));
  assert.not(listWaiting().some(({ isRepeat }) => isRepeat));
  acquire(admit('a', 'long', bodyOf(50_000)));
  assert.is(listWaiting().filter(({ isRepeat }) => isRepeat).length, 1);
});

test.run();
