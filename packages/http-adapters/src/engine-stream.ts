/** Reads an engine's stream of JSON lines. */
import { engineMessageCodec } from '@limelead/outside-protocol';
import type { EngineStream } from '@limelead/ports';
import type { EngineMessage } from '@limelead/types';
import * as E from 'fp-ts/lib/Either.js';
import type { Readable } from 'node:stream';

/** A line longer than this ends the stream, so that an engine can't fill the VM's memory. */
const MAX_LINE_CHARACTERS = 1_000_000;

/** Wraps a response body. */
export default function createEngineStream(body: Readable): EngineStream {
  const chunks = body.setEncoding('utf8')[Symbol.asyncIterator]() as AsyncIterator<
    string,
    undefined
  >;
  let rest = '';
  let ready: EngineMessage[] = [];

  async function read(): Promise<EngineMessage | undefined> {
    while (ready.length === 0) {
      const chunk = await readChunk(chunks);
      if (chunk === undefined || rest.length + chunk.length > MAX_LINE_CHARACTERS) {
        body.destroy();
        return undefined;
      }
      const lines = (rest + chunk).split('\n');
      rest = lines.pop() ?? '';
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
    // A reset link and an end without a marker mean the same to the session.
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

/** Tokens that arrived together are handed on together. */
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
