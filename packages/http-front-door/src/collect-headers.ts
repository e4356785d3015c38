/** Collects the headers of a request that a dialect reads. */

/** Value of the last occurrence, and the number of occurrences. */
export interface HeaderOccurrences {
  value: string;
  count: number;
}

/** @param names in lower case; other headers are left out */
export default function collectHeaders(
  rawHeaders: readonly string[],
  names: ReadonlySet<string>,
): Map<string, HeaderOccurrences> {
  const headers = new Map<string, HeaderOccurrences>();
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    const name = (rawHeaders[index] ?? '').toLowerCase();
    if (names.has(name)) {
      const count = (headers.get(name)?.count ?? 0) + 1;
      headers.set(name, { value: rawHeaders[index + 1] ?? '', count });
    }
  }
  return headers;
}
