/** Codecs of bounded values; their names are the expectations in error messages. */
import * as t from 'io-ts';

function refine<A>(
  base: t.Type<A, A, unknown>,
  name: string,
  isValid: (value: A) => boolean,
): t.Type<A, A, unknown> {
  const is = (input: unknown): input is A => base.is(input) && isValid(input);
  return new t.Type(
    name,
    is,
    (input, context) => (is(input) ? t.success(input) : t.failure(input, context)),
    t.identity,
  );
}

/** A whole number between two limits, inclusive. */
export function integerBetween(low: number, high: number): t.Type<number, number, unknown> {
  return refine(
    t.number,
    `a whole number from ${low} to ${high}`,
    (value) => Number.isInteger(value) && value >= low && value <= high,
  );
}

/** A number greater than 0 and at most `high`. */
export function positiveUpTo(high: number): t.Type<number, number, unknown> {
  return refine(
    t.number,
    `a number above 0 and up to ${high}`,
    (value) => value > 0 && value <= high,
  );
}

/** A text that matches a pattern. */
export function stringMatching(
  pattern: RegExp,
  description: string,
): t.Type<string, string, unknown> {
  return refine(t.string, description, (value) => pattern.test(value));
}

/** One of the given texts. */
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

/** A list with at most `maxItems` items. */
export function listUpTo<A>(
  item: t.Type<A, unknown, unknown>,
  maxItems: number,
): t.Type<A[], unknown, unknown> {
  const list = t.array(item);
  return new t.Type(
    `a list of at most ${maxItems}`,
    (input): input is A[] => list.is(input) && input.length <= maxItems,
    (input, context) =>
      Array.isArray(input) && input.length > maxItems
        ? t.failure(input, context)
        : list.validate(input, context),
    t.identity,
  );
}
