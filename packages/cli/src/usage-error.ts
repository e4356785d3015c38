/** Invalid or missing arguments. */
export default class UsageError extends Error {
  override readonly name = 'UsageError';
}
