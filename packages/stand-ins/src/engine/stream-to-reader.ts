/** Streams the tokens of one generation to one reader as JSON lines. */
import type { EngineMessage } from '@limelead/types';
import type { ServerResponse } from 'node:http';
import Batch, { listDecodedTokens, type EngineGeneration } from './batch.js';

/** Fault at the end of a stream: the end message is missing, or its length is wrong. */
export type StreamEndFault = 'none' | 'no-marker' | 'wrong-length';

/** A generation, its reader's connection and the faults of the stream. */
export interface StreamOptions {
  batch: Batch;
  generation: EngineGeneration;
  response: ServerResponse;
  fromOffset: number;
  now(): number;
  isPaused(): boolean;
  endFault(): StreamEndFault;
}

/** Writes tokens until the generation ends, the connection closes or a higher attempt attaches. */
export default function streamToReader(options: StreamOptions): void {
  const { batch, generation, response, now } = options;
  const attempt = generation.attempt;
  let offset = options.fromOffset;
  let isBlocked = false;
  generation.withoutReaderSinceMs = undefined;

  function write(message: EngineMessage): void {
    isBlocked = !response.write(`${JSON.stringify(message)}\n`);
  }

  function writeAvailableTokens(): void {
    if (options.isPaused() || isBlocked || response.destroyed) {
      return;
    }
    if (generation.attempt !== attempt || generation.record.ended === 'cancelled') {
      response.destroy();
      return;
    }
    const tokens = listDecodedTokens(generation, offset);
    if (tokens.length > 0) {
      write({ kind: 'tokens', offset, tokens });
      offset += tokens.length;
    }
    if (generation.nextOffset >= generation.length) {
      finish();
    }
  }

  function finish(): void {
    const fault = options.endFault();
    if (fault !== 'no-marker') {
      const length = fault === 'wrong-length' ? offset + 1 : offset;
      write({ kind: 'end', length, reason: Batch.finishReasonOf(generation) });
    }
    response.end();
    if (fault === 'none') {
      batch.remove(generation, 'finished');
    }
  }

  response.on('drain', () => {
    isBlocked = false;
    writeAvailableTokens();
  });
  response.on('close', () => {
    if (generation.attempt === attempt) {
      generation.withoutReaderSinceMs = now();
    }
  });
  generation.notifyReader = writeAvailableTokens;
  writeAvailableTokens();
}
