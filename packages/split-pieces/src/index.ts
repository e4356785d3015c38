/**
 * Splits a `text/event-stream` into whole events and reads the number of each.
 * The bytes of an event are passed on as they came; what stands behind the last
 * whole event is kept until the rest of it arrives and is dropped where the
 * stream breaks off.
 */

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
/** Longest event that is taken; a longer one is no event stream. */
const MAX_PIECE_BYTES = 1024 * 1024;
const NUMBER_FIELD_PATTERN = /^id: ?(\d+)\r?$/m;

/** One whole event. */
export interface Piece {
  /** Its number; undefined for a comment or an event without one. */
  number?: number;
  /** Its bytes with the blank line behind it. */
  bytes: Buffer;
}

/** Splits one stream. */
export interface PieceSplitter {
  /** Takes bytes and gives the events that are whole by now. */
  push(chunk: Buffer): Piece[];
  /** Bytes of an event that is not whole yet. */
  readonly pendingBytes: number;
  /** True once an event was too long to be one. */
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
        pieces.push(toPiece(pending.subarray(0, end)));
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

function toPiece(bytes: Buffer): Piece {
  const found = NUMBER_FIELD_PATTERN.exec(bytes.toString('latin1'));
  return found === null ? { bytes } : { bytes, number: Number(found[1]) };
}

/** Offset behind the first blank line, or -1 where none is whole. */
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
