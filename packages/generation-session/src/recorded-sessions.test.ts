import { readdirSync, readFileSync, writeFileSync } from 'node:fs';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import replay from './replay.fixture.js';

const FIXTURES = new URL('../src/fixtures/', import.meta.url);
const isUpdating = process.env['UPDATE_GOLDEN'] === '1';

for (const name of readdirSync(FIXTURES)) {
  test(`the recorded session ${name} replays to the same commands`, () => {
    const file = new URL(name, FIXTURES);
    const recording = readFileSync(file, 'utf8');
    const replayed = replay(recording);
    if (isUpdating) {
      writeFileSync(file, replayed);
    }
    assert.is(replayed, isUpdating ? replayed : recording);
  });
}

test.run();
