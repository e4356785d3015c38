import * as E from 'fp-ts/lib/Either.js';
import fc from 'fast-check';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import createHandleSigner from './index.js';

const SUBJECT = {
  organisation: 'haneul',
  requestId: 'r1',
  service: 'feedback-sheet',
  prompt: 'bar by bar',
  maxTokens: 10,
};
const POINT = {
  binding: { modelVersion: { model: 'm', adapter: '', version: '1' }, seed: 7 },
  targetId: 'e1',
  generationId: 'g-1',
  attempt: 3,
  deadlineAtMs: undefined,
};

const signer = createHandleSigner('a-secret-of-all-vms');

test('a handle signed by one VM is accepted by another', () => {
  const verified = createHandleSigner('a-secret-of-all-vms').verify(
    signer.sign(SUBJECT, POINT),
    SUBJECT,
  );
  assert.ok(E.isRight(verified));
  assert.equal(verified.right, POINT);
});

test('a handle with another secret, organisation, request, prompt or length is rejected', () => {
  const handle = signer.sign(SUBJECT, POINT);
  assert.ok(E.isLeft(createHandleSigner('another-secret-of-vms').verify(handle, SUBJECT)));
  for (const other of [
    { ...SUBJECT, organisation: 'x' },
    { ...SUBJECT, requestId: 'x' },
    { ...SUBJECT, prompt: 'x' },
    { ...SUBJECT, maxTokens: 11 },
  ]) {
    const verified = signer.verify(handle, other);
    assert.ok(E.isLeft(verified) && verified.left.kind === 'handle-invalid');
  }
});

test('altered handles are rejected without an exception', () => {
  const handle = signer.sign(SUBJECT, POINT);
  fc.assert(
    fc.property(fc.nat(handle.length - 1), fc.base64String(), (position, noise) => {
      const changed = handle.slice(0, position) + noise + handle.slice(position + 1);
      const isSame = Buffer.from(changed, 'base64url').equals(Buffer.from(handle, 'base64url'));
      assert.is(E.isRight(signer.verify(changed, SUBJECT)), isSame);
    }),
    { seed: 7 },
  );
  assert.ok(E.isLeft(signer.verify('x'.repeat(10_000), SUBJECT)));
});

test.run();
