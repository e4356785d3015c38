import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import MemberRegistry from './member-registry.js';

const clock = { at: 0, now: () => clock.at };
const generator = xoroshiro128plus(7);
const random = { next: () => uniformFloat64(generator) };

test('a stopped VM expires although others continue to list it', () => {
  clock.at = 0;
  const [a, b] = ['a', 'b'].map((id) => new MemberRegistry(id, clock, random));
  a!.recordContact('gone');
  for (clock.at = 500; clock.at <= 14_000; clock.at += 500) {
    a!.recordContact('b');
    b!.recordContact('a');
    a!.sample().forEach((member) => b!.recordMember(member));
    b!.sample().forEach((member) => a!.recordMember(member));
  }
  assert.equal(a!.list(), ['b']);
  assert.equal(b!.list(), ['a']);
});

test('every VM learns of every other over few links', () => {
  clock.at = 0;
  const size = 88;
  const registries = Array.from(
    { length: size },
    (_, id) => new MemberRegistry(`${id}`, clock, random),
  );
  for (clock.at = 1_000; clock.at <= 20_000; clock.at += 1_000) {
    for (let id = 0; id < size; id += 1) {
      for (const distance of [1, 2, 4, 8, 16, 32]) {
        const peer = (id + distance) % size;
        registries[id]!.recordContact(`${peer}`);
        registries[peer]!.recordContact(`${id}`);
        registries[id]!.sample().forEach((member) => registries[peer]!.recordMember(member));
        registries[peer]!.sample().forEach((member) => registries[id]!.recordMember(member));
      }
    }
  }
  assert.equal([...new Set(registries.map(({ count }) => count))], [size]);
});

test.run();
