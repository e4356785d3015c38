/** Codecs of objects that reject unknown keys. */
import * as E from 'fp-ts/lib/Either.js';
import * as t from 'io-ts';

type Props = Record<string, t.Mixed>;
type Required<P extends Props> = { [K in keyof P]: t.TypeOf<P[K]> };
type Optional<P extends Props> = { [K in keyof P]?: t.TypeOf<P[K]> };

/** The type that a strict codec decodes to. */
export type StrictObject<P extends Props, O extends Props> = Required<P> & Optional<O>;

/** Creates a codec that rejects unknown keys; keys of `optional` may be absent. */
export default function strictObject<P extends Props, O extends Props = Record<never, t.Mixed>>(
  name: string,
  required: P,
  optional: O = {} as O,
): t.Type<StrictObject<P, O>, unknown> {
  const known: Props = { ...required, ...optional };

  function validate(input: unknown, context: t.Context): t.Validation<StrictObject<P, O>> {
    if (typeof input !== 'object' || input === null || Array.isArray(input)) {
      return t.failure(input, context);
    }
    const fields = input as Record<string, unknown>;
    const errors = [
      ...findUnknownKeys(fields, known, context),
      ...Object.entries(known).flatMap(([key, codec]) =>
        key in optional && fields[key] === undefined ? [] : check(fields[key], key, codec, context),
      ),
    ];
    return errors.length === 0 ? t.success(fields as StrictObject<P, O>) : t.failures(errors);
  }

  return new t.Type(
    name,
    (input): input is StrictObject<P, O> => E.isRight(validate(input, [])),
    validate,
    (a) => a,
  );
}

const NO_SUCH_KEY = new t.Type<never>(
  'no such key',
  (_input): _input is never => false,
  t.failure,
  t.identity,
);

function findUnknownKeys(
  fields: Record<string, unknown>,
  known: Props,
  context: t.Context,
): t.Errors {
  return Object.keys(fields)
    .filter((key) => !Object.hasOwn(known, key))
    .map((key) => ({
      value: fields[key],
      context: t.appendContext(context, key, NO_SUCH_KEY, fields[key]),
    }));
}

function check(value: unknown, key: string, codec: t.Mixed, context: t.Context): t.Errors {
  const result = codec.validate(value, t.appendContext(context, key, codec, value));
  return E.isLeft(result) ? result.left : [];
}
