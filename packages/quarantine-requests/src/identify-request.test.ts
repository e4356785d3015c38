import { test } from 'uvu';
import * as assert from 'uvu/assert';
import identifyRequest from './identify-request.js';

const request = {
  organisation: 'a',
  host: 'vans.example',
  method: 'POST',
  path: '/briefs/1',
  body: Buffer.from('prompt'),
};

test('repetitions of a request have the same identity', () => {
  assert.is(identifyRequest({ ...request }), identifyRequest({ ...request }));
  assert.match(identifyRequest(request), /^[0-9a-f]{32}$/);
});

test('a request with another caller, host, method, path or body has another identity', () => {
  const others = [
    { organisation: 'b' },
    { organisation: undefined },
    { host: 'other.example' },
    { method: 'PUT' },
    { path: '/briefs/1?x' },
    { body: Buffer.from('prompts') },
  ].map((other) => identifyRequest({ ...request, ...other }));
  assert.is(new Set([identifyRequest(request), ...others]).size, others.length + 1);
});

test('the same text divided differently between the parts has another identity', () => {
  const moved = { ...request, organisation: 'av', host: 'ans.example' };
  assert.is.not(identifyRequest(moved), identifyRequest(request));
});

test.run();
