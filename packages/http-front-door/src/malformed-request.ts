/** Answers to bytes that the HTTP parser rejects, and what can be logged of them. */

/** Status line of an answer without a body. */
export interface MalformedAnswer {
  status: number;
  text: string;
}

/**
 * Chooses the status line for a parser error.
 * @param code the parser's error code
 */
export default function createMalformedAnswer(code: string | undefined): MalformedAnswer {
  switch (code) {
    case 'HPE_HEADER_OVERFLOW':
      return { status: 431, text: 'Request Header Fields Too Large' };
    case 'ERR_HTTP_REQUEST_TIMEOUT':
      return { status: 408, text: 'Request Timeout' };
    default:
      return { status: 400, text: 'Bad Request' };
  }
}

/** Node's error for bytes that its parser rejects. */
export interface ParserError extends NodeJS.ErrnoException {
  /** The packet in which the parser failed; undefined after a timeout. */
  rawPacket?: Buffer;
}

/** Longest first line in a log line. */
const MAX_FIRST_LINE_CHARACTERS = 200;

/** Readable parts of a malformed head. */
export interface MalformedHead {
  firstLine: string;
  /** Alternating names and values of the lines that look like headers. */
  rawHeaders: string[];
}

/**
 * Reads what it can of a malformed head.
 * @param packet the bytes in which the parser failed, not always the start of the head
 */
export function parseMalformedHead(packet: Buffer | undefined): MalformedHead {
  const [head = ''] = (packet?.toString('latin1') ?? '').split('\r\n\r\n', 1);
  const [firstLine = '', ...lines] = head.split('\r\n');
  const rawHeaders = lines.flatMap((line) => {
    const separator = line.indexOf(':');
    return separator < 1 ? [] : [line.slice(0, separator), line.slice(separator + 1).trim()];
  });
  return { firstLine: firstLine.slice(0, MAX_FIRST_LINE_CHARACTERS), rawHeaders };
}
