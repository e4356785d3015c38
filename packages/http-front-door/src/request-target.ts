/** Pure reading of a request's target (RFC 9112, 3.2): a path, or a whole URL as sent to proxies. */
import type { IncomingMessage } from 'node:http';

const ABSOLUTE = /^https?:\/\/([^/?#]+)([/?].*)?$/i;

/** Where a request goes. */
export interface RequestTarget {
  /** Host, with its port where one is given; empty where the request names none. */
  host: string;
  /** Begins with a slash where the target holds; with the query. */
  path: string;
  /** Headers as sent; the host of a whole URL replaces the one of the header, as the standard asks. */
  rawHeaders: string[];
}

/** Reads the target. */
export default function parseRequestTarget({
  url = '',
  headers,
  rawHeaders,
}: Pick<IncomingMessage, 'url' | 'headers' | 'rawHeaders'>): RequestTarget {
  const [, authority, rest = '/'] = ABSOLUTE.exec(url) ?? [];
  if (authority === undefined) {
    return { host: headers.host ?? '', path: url, rawHeaders };
  }
  const host = authority.slice(authority.lastIndexOf('@') + 1);
  const path = rest.startsWith('/') ? rest : `/${rest}`;
  return { host, path, rawHeaders: replaceHost(rawHeaders, host) };
}

function replaceHost(rawHeaders: string[], host: string): string[] {
  return rawHeaders.map((part, index) =>
    index % 2 === 1 && rawHeaders[index - 1]?.toLowerCase() === 'host' ? host : part,
  );
}
