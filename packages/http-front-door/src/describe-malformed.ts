/** What a caller is told whose bytes are no request that the parser takes. */

/** Status line of an answer without a body. */
export interface MalformedAnswer {
  status: number;
  text: string;
}

/** @param code the code of the HTTP parser's error */
export default function describeMalformed(code: string | undefined): MalformedAnswer {
  switch (code) {
    case 'HPE_HEADER_OVERFLOW':
      return { status: 431, text: 'Request Header Fields Too Large' };
    case 'ERR_HTTP_REQUEST_TIMEOUT':
      return { status: 408, text: 'Request Timeout' };
    default:
      return { status: 400, text: 'Bad Request' };
  }
}
