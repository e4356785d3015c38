/** What a caller is told whose bytes are no request that the parser takes. */

/** Status line of an answer without a body. */
export interface MalformedAnswer {
  status: number;
  text: string;
}

/** @param code the code of the HTTP parser's error */
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

/** What the runtime tells of bytes that its parser does not take. */
export interface ParserError extends NodeJS.ErrnoException {
  /** The packet in which it stopped; undefined where none came in time. */
  rawPacket?: Buffer;
}

/** Most characters of a first line that are written. */
const MAX_FIRST_LINE_CHARACTERS = 200;

/** What can be read of a head that is none. */
export interface MalformedHead {
  firstLine: string;
  /** Names and values by turns, of the lines that look like headers. */
  rawHeaders: string[];
}

/** @param packet the bytes in which the parser stopped, which need not begin with the head */
export function parseMalformedHead(packet: Buffer | undefined): MalformedHead {
  const [head = ''] = (packet?.toString('latin1') ?? '').split('\r\n\r\n', 1);
  const [firstLine = '', ...lines] = head.split('\r\n');
  const rawHeaders = lines.flatMap((line) => {
    const colon = line.indexOf(':');
    return colon < 1 ? [] : [line.slice(0, colon), line.slice(colon + 1).trim()];
  });
  return { firstLine: firstLine.slice(0, MAX_FIRST_LINE_CHARACTERS), rawHeaders };
}
