import type { IncomingRequest } from '@limelead/types';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import composeRelayHeaders from './compose-relay-headers.js';

const NAMES = { timeoutMs: 'Timeout', lastPiece: 'Last', firstAttemptId: 'First' };

function compose(
  rawHeaders: string[],
  lastPiece: number,
  state: Partial<IncomingRequest> = { lastPiece: 0 },
): string[] {
  const request = { rawHeaders, requestId: 'r2', ...state } as IncomingRequest;
  return composeRelayHeaders({ request, remainingMs: 812.7, lastPiece }, NAMES);
}

test('a relayed request carries what is left of its deadline, and the last piece', () => {
  const received = ['Host', 'h', 'timeout', '1500', 'LAST', '3', 'Key', 'k'];
  assert.equal(compose(received, 7), [
    ...['Host', 'h', 'Key', 'k', 'Timeout', '812', 'Last', '7', 'First', 'r2'],
    ...['limelead-relay', 'request'],
  ]);
  assert.not.ok(compose(received, 0).includes('Last'));
});

test('a relayed stream names the attempt that brought its first piece', () => {
  const received = ['First', 'r1', 'Last', '3'];
  const relayed = compose(received, 7, { lastPiece: 3, firstAttemptId: 'r1' });
  assert.is(relayed[relayed.indexOf('First') + 1], 'r1');
  assert.is(relayed.filter((name) => name === 'First').length, 1);
});

test('headers of the connection of the caller are not relayed', () => {
  const received = ['Connection', 'x-hop', 'X-Hop', '1', 'Content-Length', '5', 'Expect', 'a'];
  assert.equal(compose(received, 0), ['Timeout', '812', 'limelead-relay', 'request']);
});

test.run();
