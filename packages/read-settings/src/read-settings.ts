/** Reads and validates a settings file. */
import decodeJsonc from '@limelead/decode-with-lines';
import { DecodeError } from '@limelead/errors';
import * as E from 'fp-ts/lib/Either.js';
import { readFileSync } from 'node:fs';
import { settingsCodec, type Settings } from './settings.js';

/** Gives the settings, or an error that lists every invalid key with its line. */
export default function readSettings(file: string): E.Either<DecodeError, Settings> {
  try {
    return decodeJsonc(file, readFileSync(file, 'utf8'), settingsCodec);
  } catch (thrown) {
    const found = thrown instanceof Error ? thrown.message : String(thrown);
    return E.left(
      new DecodeError(file, [{ line: 0, key: '', expected: 'a readable file', found }]),
    );
  }
}
