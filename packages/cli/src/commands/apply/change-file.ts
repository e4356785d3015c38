/** Decodes change files of `limelead apply`: JSON with comments. */
import { operationCodec } from '@limelead/configuration-state';
import decodeJsonc, { strictObject, listUpTo, stringMatching } from '@limelead/decode-with-lines';
import type { DecodeError } from '@limelead/errors';
import type { Operation } from '@limelead/types';
import type * as E from 'fp-ts/lib/Either.js';
import type * as t from 'io-ts';

const MAX_OPERATIONS = 1_000;

/** Contents of a change file. */
export interface ChangeFile {
  reason: string;
  operations: Operation[];
}

const changeFileCodec = strictObject('change file', {
  reason: stringMatching(/^.{1,500}$/s, 'a text of 1 to 500 characters'),
  operations: listUpTo(operationCodec, MAX_OPERATIONS),
}) as t.Type<ChangeFile, unknown>;

/** Decodes the text of a change file; errors name the line. */
export default function decodeChangeFile(
  file: string,
  text: string,
): E.Either<DecodeError, ChangeFile> {
  return decodeJsonc(file, text, changeFileCodec);
}
