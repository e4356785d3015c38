/** Guards that every request to a target passes the slot queue, which enforces their limits. */
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

test('only the slot queue occupies slots at targets', () => {
  assert.equal(findModules(/directory\.startRequest\(/), ['forward-request/slot-queue.ts']);
});

test('only attempts with a slot and small queries send calls to targets', () => {
  assert.equal(findModules(/\bconnections\.send\(/), [
    'forward-request/call-attempt.ts',
    'forward-request/query-target.ts',
    'forward-request/stream-attempt.ts',
  ]);
});

test.run();
