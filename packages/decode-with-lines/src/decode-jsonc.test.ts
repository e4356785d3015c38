import * as E from 'fp-ts/lib/Either.js';
import * as t from 'io-ts';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import decodeJsonc, { strictObject, integerBetween, listUpTo } from './index.js';

const codec = strictObject(
  'settings',
  { port: integerBetween(0, 65_535), peers: listUpTo(strictObject('peer', { id: t.string }), 2) },
  { note: t.string },
);

function faultsOf(text: string): string[] {
  const decoded = decodeJsonc('f.jsonc', text, codec);
  return E.isLeft(decoded) ? decoded.left.message.split('\n') : [];
}

test('comments and trailing commas are accepted', () => {
  assert.equal(faultsOf('{\n // where\n "port": 1, "peers": [{"id":"a"}],\n}'), []);
});

test('a wrong value is reported with line, key, expected and found value', () => {
  assert.equal(faultsOf('{\n  "peers": [],\n  "port": "x"\n}'), [
    'f.jsonc:3: port: expected a whole number from 0 to 65535, found "x"',
  ]);
});

test('an unknown key is reported at its line', () => {
  assert.equal(faultsOf('{"port": 1,\n"peers": [{"id": "a",\n"prot": 2}]}'), [
    'f.jsonc:3: peers.0.prot: expected no such key, found 2',
  ]);
});

test("a missing key is reported at its parent's line, and all faults are listed", () => {
  assert.equal(faultsOf('{\n"note": 3}'), [
    'f.jsonc:1: port: expected a whole number from 0 to 65535, found nothing',
    'f.jsonc:1: peers: expected a list of at most 2, found nothing',
    'f.jsonc:2: note: expected string, found 3',
  ]);
});

test('invalid JSON is reported with its line', () => {
  assert.match(faultsOf('{\n"port": }')[0] ?? '', /^f\.jsonc:2: document: expected JSON/);
});

test('a list that is too long is rejected', () => {
  const peers = '[{"id":"a"},{"id":"b"},{"id":"c"}]';
  assert.match(faultsOf(`{"port":1,"peers":${peers}}`)[0] ?? '', /a list of at most 2/);
});

test.run();
