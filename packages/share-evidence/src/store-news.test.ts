import { test } from 'uvu';
import * as assert from 'uvu/assert';
import StoreNews, { type NewsOfStore } from './store-news.js';

const NEWS: NewsOfStore = { revision: 9, configuration: 3, configurationBytes: 500, ageMs: 50 };

function create() {
  const clock = { at: 10_000, now: () => clock.at };
  const known = { revision: 9, configuration: 3 };
  const told: [string, NewsOfStore][] = [];
  const news = new StoreNews({
    clock,
    readKnowledge: () => ({
      ...known,
      configurationBytes: 500,
      isInTouch: true,
      isStoreAway: false,
    }),
    listPeers: () => ['a', 'b'],
    tell: (peers, what) => peers.forEach((peer) => told.push([peer, what])),
  });
  return { clock, known, told, news };
}

test('a VM is current while news come, and has to follow the store once they are late', () => {
  const { clock, news } = create();
  assert.not(news.isCurrent);
  news.hear('a', NEWS);
  assert.ok(news.isCurrent);
  clock.at += 1_649;
  assert.ok(news.isCurrent);
  clock.at += 1;
  assert.not(news.isCurrent);
});

test('news of a revision that is not known yet count once this VM has caught up', () => {
  const { known, told, news } = create();
  news.hear('a', { ...NEWS, revision: 12 });
  assert.not(news.isCurrent);
  assert.equal(told, []);
  known.revision = 12;
  news.noteCaughtUp();
  assert.ok(news.isCurrent);
  assert.equal(told, [['b', { ...NEWS, revision: 12 }]]);
});

test('the same news from many peers are passed on once, and newer ones again after a while', () => {
  const { clock, told, news } = create();
  news.hear('a', NEWS);
  news.hear('b', NEWS);
  assert.is(told.length, 1);
  clock.at += 699;
  news.hear('a', NEWS);
  assert.is(told.length, 1);
  clock.at += 1;
  news.hear('a', NEWS);
  assert.is(told.length, 2);
});

test('a new revision is passed on at once', () => {
  const { known, told, news } = create();
  news.confirm();
  known.revision = 10;
  news.confirm();
  assert.equal(
    told.map(([peer, { revision }]) => `${peer} ${revision}`),
    ['a 9', 'b 9', 'a 10', 'b 10'],
  );
});

test('news that grew old on their way keep their age', () => {
  const { news } = create();
  news.hear('a', { ...NEWS, ageMs: 1_800 });
  assert.not(news.isCurrent);
});

test('a large configuration is read from the store by each VM itself', () => {
  const { known, news } = create();
  news.hear('a', { revision: 12, configuration: 4, configurationBytes: 400_000, ageMs: 0 });
  known.revision = 12;
  news.noteCaughtUp();
  assert.not(news.isCurrent);
  known.configuration = 4;
  assert.ok(news.isCurrent);
});

test.run();
