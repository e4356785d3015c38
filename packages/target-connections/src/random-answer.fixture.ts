/** Answers of faulty targets, drawn from a seed: bytes, the pieces they are sent in, and the end. */
import type { SeededDraws } from '@limelead/stand-ins';

/** How a target closes a connection, or that it keeps it open. */
export type Ending = 'reset' | 'halfClose' | 'close' | 'keep';

/** Bytes that follow an answer again and again until its connection closes. */
export interface EndlessBytes {
  text: string;
  /** Time between the bytes; 0 sends as fast as they are read. */
  intervalMs: number;
}

/** An answer as its target sends it. */
export interface AnswerPlan {
  /** Latin-1 text of each write, with the pause before it in milliseconds. */
  pieces: { text: string; delayMs: number }[];
  ending: Ending;
  endDelayMs: number;
  /** What follows in place of an end. */
  endless?: EndlessBytes;
  /** Whether the target reads no more of the request. */
  isDeaf: boolean;
}

const VERSIONS = ['1.1', '1.0', '0.9', '2.0', '1.', 'x'];
const STATUSES = ['503', '204', '304', '101', '100', '000', '99999'];
const INTERIM = ['100 Continue', '103 Early Hints', '102 Processing'];
const CONNECTION_HEADERS = [
  ...['', '', '', ''],
  ...['Connection: close', 'Connection: keep-alive', 'Connection: close, keep-alive'],
  ...['Proxy-Connection: close', 'Proxy-Connection: keep-alive', 'Connection: upgrade'],
  ...['Upgrade: h2c\r\nConnection: upgrade', 'Keep-Alive: timeout=0', 'Keep-Alive: timeout=2'],
  ...[
    'Keep-Alive: timeout=99999999999999999999',
    'Connection: keep-alive\r\nKeep-Alive: timeout=x',
  ],
];
const ODD_HEADERS = [
  ...['Trailer: Last', 'X: \xff\xfe', 'X', ': empty', ' folded: yes', 'X : spaced'],
  ...[
    'Content-Encoding: gzip',
    `Long: ${'x'.repeat(20_000)}`,
    'Expect: 100-continue',
    'X: a\nY: b',
  ],
];
const CHUNK_SIZES = ['-1', 'g', '', 'ffffffffffffffffff', '5;ext="a"', ' 5', '0x5'];
const BODY_SIZES = [0, 1, 5, 100, 5_000, 70_000, 200_000];
/** Share of the parts of a head, and of chunks, that are unusual or wrong. */
const ODD_SHARE = 0.15;
const BAD_CHUNK_SHARE = 0.04;
const CHANGED_BYTE_SHARE = 0.15;
const CUT_SHARE = 0.3;
const ENDLESS_SHARE = 0.15;
/** Bytes that never end: of a body or a line, interim answers, headers, chunks, extensions. */
const ENDLESS_TEXTS = [
  ...['x', 'HTTP/1.1 103 Early Hints\r\n\r\n', 'X-Pad: y\r\n', '5\r\nabcde\r\n'],
  ...['4000\r\n' + 'x'.repeat(0x4000) + '\r\n', '1;x=y\r\nx\r\n', '\r\n', '0'],
];
const MAX_PIECES = 5;
const MAX_DELAY_MS = 4;

/** Plans one answer. */
export function planAnswer(draws: SeededDraws): AnswerPlan {
  const text = cut(draws, changeByte(draws, composeAnswer(draws)));
  const count = 1 + draws.below(MAX_PIECES);
  const bounds = Array.from({ length: count - 1 }, () => draws.below(text.length + 1));
  bounds.sort((a, b) => a - b);
  return {
    pieces: [...bounds, text.length].map((end, index, ends) => ({
      text: text.slice(ends[index - 1] ?? 0, end),
      delayMs: draws.below(MAX_DELAY_MS),
    })),
    ending: draws.pick(['reset', 'halfClose', 'close', 'keep'] as const),
    endDelayMs: draws.below(MAX_DELAY_MS),
    isDeaf: draws.isWithin(0.1),
    ...(draws.isWithin(ENDLESS_SHARE) && {
      endless: { text: draws.pick(ENDLESS_TEXTS), intervalMs: draws.pick([0, 0, 2]) },
    }),
  };
}

function composeAnswer(draws: SeededDraws): string {
  const pickOdd = (items: readonly string[], usual = ''): string =>
    draws.isWithin(ODD_SHARE) ? draws.pick(items) : usual;
  const version = pickOdd(VERSIONS, draws.pick(['1.1', '1.1', '1.0']));
  const interim = pickOdd(INTERIM);
  const size = draws.pick(BODY_SIZES);
  const [framing, body] = composeBody(draws, 'x'.repeat(size));
  const headers = [framing, draws.pick(CONNECTION_HEADERS), pickOdd(ODD_HEADERS)]
    .filter((header) => header !== '')
    .join('\r\n');
  const head = `HTTP/${version} ${pickOdd(STATUSES, '200')} OK\r\n${headers}\r\n\r\n`;
  const extra = draws.isWithin(0.1) ? draws.pick(['x', '\r\n', '\0', head + body]) : '';
  return (interim && `HTTP/${version} ${interim}\r\n\r\n`) + head + body + extra;
}

/** Returns headers that tell where the body ends, rightly or not, and the body. */
function composeBody(draws: SeededDraws, data: string): [string, string] {
  const chunked = composeChunks(draws, data);
  return draws.pick<[string, string]>([
    ['', data],
    [`Content-Length: ${data.length}`, data],
    [`Content-Length: ${data.length}`, data],
    [`Content-Length: ${data.length}`, data],
    [`Content-Length: ${data.length + 1}`, data],
    [`Content-Length: ${draws.pick(['-1', '0', '1, 2', '1e3', '9'.repeat(30)])}`, data],
    [`Content-Length: ${data.length}\r\nContent-Length: ${data.length}`, data],
    [`Content-Length: ${data.length}\r\nTransfer-Encoding: chunked`, chunked],
    ['Transfer-Encoding: chunked', chunked],
    ['Transfer-Encoding: chunked', chunked],
    ['Transfer-Encoding: chunked', chunked],
    ['Transfer-Encoding: chunked, identity', chunked],
    ['Transfer-Encoding: gzip', data],
  ]);
}

function composeChunks(draws: SeededDraws, data: string): string {
  let text = '';
  for (let at = 0; at < data.length;) {
    const size = Math.min(data.length - at, 1 + draws.below(data.length));
    const length = draws.isWithin(BAD_CHUNK_SHARE) ? draws.pick(CHUNK_SIZES) : size.toString(16);
    text += `${length}\r\n${data.slice(at, at + size)}\r\n`;
    at += size;
  }
  return `${text}0\r\n${draws.pick(['', '', '', 'Last: 1\r\n', 'Last\r\n', ': \r\n'])}\r\n`;
}

function changeByte(draws: SeededDraws, text: string): string {
  if (!draws.isWithin(CHANGED_BYTE_SHARE)) {
    return text;
  }
  const at = draws.below(Math.min(text.length, 300));
  return text.slice(0, at) + String.fromCharCode(draws.below(256)) + text.slice(at + 1);
}

/** Cuts a text anywhere, or within its first bytes, where most states are. */
function cut(draws: SeededDraws, text: string): string {
  if (!draws.isWithin(CUT_SHARE)) {
    return text;
  }
  return text.slice(0, draws.below(draws.isWithin(0.5) ? Math.min(text.length, 200) : text.length));
}
