import * as E from 'fp-ts/lib/Either.js';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { evidenceMessageFormat, type EvidenceMessage } from './messages.js';
import { memberListCodec } from './member-codec.js';
import { nameMembers, readNamedMembers } from './named-members.js';

const MEMBERS = Array.from({ length: 16 }, (_, index) => ({
  id: `10.2.0.${200 + index}:7210`,
  ageMs: index * 600,
}));

test('members come out as they went in', () => {
  assert.equal(E.toUnion(memberListCodec.decode(memberListCodec.encode(MEMBERS))), MEMBERS);
});

test('an age that does not fit grows no younger, and a strange id is a fault of ours', () => {
  const bytes = memberListCodec.encode([{ id: '10.2.0.1:7210', ageMs: 1e9 }]);
  assert.equal(E.toUnion(memberListCodec.decode(bytes)), [{ id: '10.2.0.1:7210', ageMs: 65_535 }]);
  assert.throws(() => memberListCodec.encode([{ id: 'vm-1:7210', ageMs: 0 }]), /IPv4/);
});

test('half an entry is refused', () => {
  assert.ok(E.isLeft(memberListCodec.decode(new Uint8Array(9))));
});

test('a heartbeat with sixteen members stays below 270 bytes', () => {
  const heartbeat: EvidenceMessage = {
    kind: 'heartbeat',
    wanted: true,
    members: MEMBERS,
    revision: 12_345,
    configuration: 17,
    configurationBytes: 40_000,
  };
  const bytes = evidenceMessageFormat.encode(heartbeat);
  assert.ok(bytes.length < 270, `${bytes.length} bytes`);
  assert.equal(evidenceMessageFormat.decode(bytes), heartbeat);
});

test('the regions of a heartbeat and the sums of a region come out as they went in', () => {
  const members = MEMBERS.map((member, index) => ({ ...member, region: index % 2 ? 'b' : 'a' }));
  const named = nameMembers(members, 'a');
  const heartbeat: EvidenceMessage = {
    kind: 'heartbeat',
    wanted: true,
    ...named,
    hidden: [{ region: 'c', vms: 30, ageMs: 9_000 }],
    ...{ revision: 7, configuration: 2, configurationBytes: 900 },
  };
  const sums: EvidenceMessage = {
    kind: 'region-load',
    ...{ targets: ['t1'], requests: [3], reading: [1], copies: [2], slowness: [1.5] },
  };
  for (const message of [heartbeat, sums]) {
    const read = evidenceMessageFormat.decode(evidenceMessageFormat.encode(message));
    const expected = message === heartbeat ? { ...heartbeat, members: MEMBERS } : message;
    assert.equal(read, expected);
  }
  assert.equal(readNamedMembers(named), members);
});

test.run();
