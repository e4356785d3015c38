/** Reads the JSON lines of an engine's response stream. */
import { engineMessageCodec } from '@limelead/outside-protocol';
import type { EngineStream } from '@limelead/ports';
import type { EngineMessage } from '@limelead/types';
import * as E from 'fp-ts/lib/Either.js';
import type { Readable } from 'node:stream';

/** A longer line ends the stream, which limits the memory that an engine can use up. */
const MAX_LINE_CHARACTERS = 1_000_000;

/** Creates the message stream of a response body; lines that cannot be decoded are skipped. */
export default function createEngineStream(body: Readable): EngineStream {
  const chunks = body.setEncoding('utf8')[Symbol.asyncIterator]() as AsyncIterator<
    string,
    undefined
  >;
  let partialLine = '';
  let ready: EngineMessage[] = [];

  async function read(): Promise<EngineMessage | undefined> {
    while (ready.length === 0) {
      const chunk = await readChunk(chunks);
      if (chunk === undefined || partialLine.length + chunk.length > MAX_LINE_CHARACTERS) {
        body.destroy();
        return undefined;
      }
      const lines = (partialLine + chunk).split('\n');
      partialLine = lines.pop() ?? '';
      ready = mergeTokens(lines.flatMap(parseLine));
    }
    return ready.shift();
  }

  return { read, close: () => void body.destroy() };
}

async function readChunk(chunks: AsyncIterator<string>): Promise<string | undefined> {
  try {
    const next: IteratorResult<string, undefined> = await chunks.next();
    return next.done === true ? undefined : next.value;
  } catch {
    // The session handles a reset connection like a stream without an end message.
    return undefined;
  }
}

function parseLine(line: string): EngineMessage[] {
  try {
    const decoded = engineMessageCodec.decode(JSON.parse(line));
    return E.isRight(decoded) ? [decoded.right] : [];
  } catch {
    return [];
  }
}

/** Merges consecutive token messages into one. */
function mergeTokens(messages: EngineMessage[]): EngineMessage[] {
  const merged: EngineMessage[] = [];
  for (const message of messages) {
    const last = merged.at(-1);
    if (
      last?.kind === 'tokens' &&
      message.kind === 'tokens' &&
      message.offset === last.offset + last.tokens.length
    ) {
      last.tokens.push(...message.tokens);
    } else {
      merged.push(message);
    }
  }
  return merged;
}
