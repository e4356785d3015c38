/** Parses a request target (RFC 9112, 3.2): a path, or an absolute URL as sent to proxies. */
import type { IncomingMessage } from 'node:http';

const ABSOLUTE = /^https?:\/\/([^/?#]+)([/?].*)?$/i;

/** Host, path and headers of a request. */
export interface RequestTarget {
  /** Host, with the port if given; empty if the request has none. */
  host: string;
  /** Path and query; a valid one begins with a slash. */
  path: string;
  /** Headers as sent; the host of an absolute URL replaces that of the `Host` header, as the RFC requires. */
  rawHeaders: string[];
}

/** Parses the target of a message. */
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
  return rawHeaders.map((field, index) =>
    index % 2 === 1 && rawHeaders[index - 1]?.toLowerCase() === 'host' ? host : field,
  );
}
