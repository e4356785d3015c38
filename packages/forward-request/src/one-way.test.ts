/** Every request to a target begins at the queue of slots, where what targets name is kept. */
import { readdirSync, readFileSync } from 'node:fs';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { test } from 'uvu';
import * as assert from 'uvu/assert';

const PACKAGES = fileURLToPath(new URL('../../', import.meta.url));

/** Modules whose code matches, as "package/module". */
function findModules(pattern: RegExp): string[] {
  const modules = readdirSync(PACKAGES).flatMap((name) => {
    const folder = join(PACKAGES, name, 'src');
    return readdirSync(folder)
      .filter((file) => file.endsWith('.ts') && !/\.(test|fixture)\.ts$/.test(file))
      .filter((file) => pattern.test(readFileSync(join(folder, file), 'utf8')))
      .map((file) => `${name}/${file}`);
  });
  return modules.sort();
}

test('slots at targets are made by their queue alone', () => {
  assert.equal(findModules(/directory\.begin\(/), ['forward-request/slot-queue.ts']);
});

test('calls to targets are sent for a slot, or are small questions beside the work', () => {
  assert.equal(findModules(/\bconnections\.send\(/), [
    'forward-request/ask-target.ts',
    'forward-request/call-attempt.ts',
    'forward-request/stream-attempt.ts',
  ]);
});

test.run();
