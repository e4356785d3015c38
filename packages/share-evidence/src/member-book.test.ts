import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import MemberBook from './member-book.js';

const clock = { at: 0, now: () => clock.at };
const generator = xoroshiro128plus(7);
const random = { next: () => uniformFloat64(generator) };

test('a VM that is gone is forgotten, however long others go on naming it', () => {
  clock.at = 0;
  const [a, b] = ['a', 'b'].map((id) => new MemberBook(id, clock, random));
  a!.hearFrom('gone');
  for (clock.at = 500; clock.at <= 14_000; clock.at += 500) {
    a!.hearFrom('b');
    b!.hearFrom('a');
    a!.sample().forEach((member) => b!.hear(member));
    b!.sample().forEach((member) => a!.hear(member));
  }
  assert.equal(a!.list(), ['b']);
  assert.equal(b!.list(), ['a']);
});

test('every VM hears of every other over few links', () => {
  clock.at = 0;
  const size = 88;
  const books = Array.from({ length: size }, (_, id) => new MemberBook(`${id}`, clock, random));
  for (clock.at = 1_000; clock.at <= 20_000; clock.at += 1_000) {
    for (let id = 0; id < size; id += 1) {
      for (const distance of [1, 2, 4, 8, 16, 32]) {
        const peer = (id + distance) % size;
        books[id]!.hearFrom(`${peer}`);
        books[peer]!.hearFrom(`${id}`);
        books[id]!.sample().forEach((member) => books[peer]!.hear(member));
        books[peer]!.sample().forEach((member) => books[id]!.hear(member));
      }
    }
  }
  assert.equal([...new Set(books.map(({ count }) => count))], [size]);
});

test.run();
