import * as E from 'fp-ts/lib/Either.js';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { exchangeMessageFormat, type ExchangeMessage } from './messages.js';
import { memberListCodec } from './member-codec.js';
import { toHeartbeatMembers, fromHeartbeatMembers } from './heartbeat-members.js';

const MEMBERS = Array.from({ length: 16 }, (_, index) => ({
  id: `10.2.0.${200 + index}:7210`,
  ageMs: index * 600,
}));

test('decoding restores encoded members', () => {
  assert.equal(E.toUnion(memberListCodec.decode(memberListCodec.encode(MEMBERS))), MEMBERS);
});

test('an age beyond the maximum is encoded as the maximum, and an id without an IPv4 address throws', () => {
  const bytes = memberListCodec.encode([{ id: '10.2.0.1:7210', ageMs: 1e9 }]);
  assert.equal(E.toUnion(memberListCodec.decode(bytes)), [{ id: '10.2.0.1:7210', ageMs: 65_535 }]);
  assert.throws(() => memberListCodec.encode([{ id: 'vm-1:7210', ageMs: 0 }]), /IPv4/);
});

test('a truncated entry is rejected', () => {
  assert.ok(E.isLeft(memberListCodec.decode(new Uint8Array(9))));
});

test('a heartbeat with sixteen members is smaller than 270 bytes', () => {
  const heartbeat: ExchangeMessage = {
    kind: 'heartbeat',
    wanted: true,
    members: MEMBERS,
    revision: 12_345,
    configuration: 17,
    configurationBytes: 40_000,
  };
  const bytes = exchangeMessageFormat.encode(heartbeat);
  assert.ok(bytes.length < 270, `${bytes.length} bytes`);
  assert.equal(exchangeMessageFormat.decode(bytes), heartbeat);
});

test('decoding restores the regions of a heartbeat and the load of a region', () => {
  const members = MEMBERS.map((member, index) => ({ ...member, region: index % 2 ? 'b' : 'a' }));
  const named = toHeartbeatMembers(members, 'a');
  const heartbeat: ExchangeMessage = {
    kind: 'heartbeat',
    wanted: true,
    ...named,
    hidden: [{ region: 'c', vms: 30, ageMs: 9_000 }],
    ...{ revision: 7, configuration: 2, configurationBytes: 900 },
  };
  const sums: ExchangeMessage = {
    kind: 'region-load',
    ...{ targets: ['t1'], requests: [3], reading: [1], copies: [2], slowness: [1.5] },
  };
  for (const message of [heartbeat, sums]) {
    const read = exchangeMessageFormat.decode(exchangeMessageFormat.encode(message));
    const expected = message === heartbeat ? { ...heartbeat, members: MEMBERS } : message;
    assert.equal(read, expected);
  }
  assert.equal(fromHeartbeatMembers(named), members);
});

test.run();
