/**
 * Splits a `text/event-stream` into complete events and parses the number of each.
 * The bytes of an event are not modified. Bytes after the last complete event are
 * buffered until the rest of the event arrives.
 */

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
/** Limit on the bytes of one event. */
const MAX_PIECE_BYTES = 1024 * 1024;
const NUMBER_FIELD_PATTERN = /^id: ?(\d+)\r?$/m;

/** One complete event. */
export interface Piece {
  /** Number in the event's `id` field; undefined for a comment or an event without a number. */
  number?: number;
  /** Bytes of the event, including the blank line that ends it. */
  bytes: Buffer;
}

/** Splits one stream. */
export interface PieceSplitter {
  /** Appends bytes and returns the events that they complete. */
  push(chunk: Buffer): Piece[];
  /** Number of buffered bytes of an incomplete event. */
  readonly pendingBytes: number;
  /** True if the incomplete event exceeds the size limit. */
  readonly isOversized: boolean;
}

/** Creates a splitter for one stream. */
export default function createPieceSplitter(): PieceSplitter {
  let pending: Buffer = Buffer.alloc(0);

  return {
    push(chunk) {
      pending = pending.length === 0 ? chunk : Buffer.concat([pending, chunk]);
      const pieces: Piece[] = [];
      for (let end = findPieceEnd(pending); end > 0; end = findPieceEnd(pending)) {
        pieces.push(parsePiece(pending.subarray(0, end)));
        pending = pending.subarray(end);
      }
      return pieces;
    },
    get pendingBytes() {
      return pending.length;
    },
    get isOversized() {
      return pending.length > MAX_PIECE_BYTES;
    },
  };
}

function parsePiece(bytes: Buffer): Piece {
  const match = NUMBER_FIELD_PATTERN.exec(bytes.toString('latin1'));
  return match === null ? { bytes } : { bytes, number: Number(match[1]) };
}

/** Returns the offset after the first blank line, or -1 if there is none. */
function findPieceEnd(bytes: Buffer): number {
  let lineStart = 0;
  for (;;) {
    const lineEnd = bytes.indexOf(LINE_FEED, lineStart);
    if (lineEnd < 0) {
      return -1;
    }
    if (isBlankLine(bytes, lineStart, lineEnd)) {
      return lineEnd + 1;
    }
    lineStart = lineEnd + 1;
  }
}

function isBlankLine(bytes: Buffer, start: number, end: number): boolean {
  return end === start || (end === start + 1 && bytes[start] === CARRIAGE_RETURN);
}
