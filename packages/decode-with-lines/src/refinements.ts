/** Codecs for bounded values; their names say what was expected. */
import * as t from 'io-ts';

function refine<A>(
  base: t.Type<A, A, unknown>,
  name: string,
  holds: (value: A) => boolean,
): t.Type<A, A, unknown> {
  const is = (input: unknown): input is A => base.is(input) && holds(input);
  return new t.Type(
    name,
    is,
    (input, context) => (is(input) ? t.success(input) : t.failure(input, context)),
    t.identity,
  );
}

/** A whole number within limits, both included. */
export function integerBetween(low: number, high: number): t.Type<number, number, unknown> {
  return refine(
    t.number,
    `a whole number from ${low} to ${high}`,
    (value) => Number.isInteger(value) && value >= low && value <= high,
  );
}

/** A number above zero and at most `high`. */
export function positiveUpTo(high: number): t.Type<number, number, unknown> {
  return refine(
    t.number,
    `a number above 0 and up to ${high}`,
    (value) => value > 0 && value <= high,
  );
}

/** A text that a pattern matches. */
export function stringMatching(
  pattern: RegExp,
  description: string,
): t.Type<string, string, unknown> {
  return refine(t.string, description, (value) => pattern.test(value));
}

/** One of a few texts. */
export function oneOf<Text extends string>(...texts: Text[]): t.Type<Text, Text, unknown> {
  const known: readonly string[] = texts;
  const is = (input: unknown): input is Text => typeof input === 'string' && known.includes(input);
  return new t.Type(
    `one of ${texts.join(', ')}`,
    is,
    (input, context) => (is(input) ? t.success(input) : t.failure(input, context)),
    t.identity,
  );
}

/** A list of at most so many items. */
export function listUpTo<A>(
  item: t.Type<A, unknown, unknown>,
  most: number,
): t.Type<A[], unknown, unknown> {
  const list = t.array(item);
  return new t.Type(
    `a list of at most ${most}`,
    (input): input is A[] => list.is(input) && input.length <= most,
    (input, context) =>
      Array.isArray(input) && input.length > most
        ? t.failure(input, context)
        : list.validate(input, context),
    t.identity,
  );
}
