/** Arguments that do not hold. */
export default class UsageError extends Error {
  override readonly name = 'UsageError';
}
