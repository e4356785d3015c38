import * as E from 'fp-ts/lib/Either.js';
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import readSettings from './index.js';

const EXAMPLE = fileURLToPath(new URL('../../../examples/limelead.jsonc', import.meta.url));

function readFaults(text: string): string {
  const folder = mkdtempSync(join(tmpdir(), 'limelead-'));
  const file = join(folder, 's.jsonc');
  writeFileSync(file, text);
  const settings = readSettings(file);
  rmSync(folder, { recursive: true });
  return E.isLeft(settings) ? settings.left.message.replaceAll(file, 's.jsonc') : '';
}

test('the example settings file of the repository is valid', () => {
  assert.ok(E.isRight(readSettings(EXAMPLE)));
});

test('a host name instead of an IP address is reported with its line', () => {
  const text = readFileSync(EXAMPLE, 'utf8').replace('"host": "127.0.0.1"', '"host": "depot"');
  assert.is(readFaults(text), 's.jsonc:6: rpc.host: expected an IP address, found "depot"');
});

test('an unknown key is reported', () => {
  const text = readFileSync(EXAMPLE, 'utf8').replace('"log": {', '"log": { "colour": true,');
  assert.match(readFaults(text), /log\.colour: expected no such key, found true/);
});

test('an unreadable file gives an error instead of throwing', () => {
  const settings = readSettings('/no/such/file.jsonc');
  assert.ok(E.isLeft(settings));
});

test.run();
