/** Creates the requests of a demonstration. */
import type { Random } from '@limelead/types';
import { DEMO_KEYS } from './demo-configuration.js';

/** Kinds of requests, used in turn. */
const KINDS = ['brief', 'prompt', 'feedback', 'booking'] as const;
const ARRIVAL_WINDOW_MS = 2_500;

/** Kind of a request. */
export type DemoRequestKind = (typeof KINDS)[number];

/** A request for a streamed answer. */
export interface DemoAnswerRequest {
  kind: 'answer';
  requestId: string;
  key: string;
  service: string;
  prompt: string;
  maxTokens: number;
  paceTokensPerSecond: number;
  startAtMs: number;
}

/** A non-repeatable call. */
export interface DemoCallRequest {
  kind: 'call';
  requestId: string;
  key: string;
  service: string;
  operation: string;
  startAtMs: number;
}

/** A request of the demonstration. */
export type DemoRequest = DemoAnswerRequest | DemoCallRequest;

/** Creates random requests. The first of each kind starts immediately, so that faults hit open requests. */
export default function createWorkload(count: number, random: Random): DemoRequest[] {
  return Array.from({ length: count }, (_, index) => {
    const kind = KINDS[index % KINDS.length] ?? 'brief';
    const startAtMs = index < KINDS.length ? 0 : Math.floor(random.next() * ARRIVAL_WINDOW_MS);
    return createRequest(kind, index, startAtMs, random);
  });
}

function createRequest(
  kind: DemoRequestKind,
  index: number,
  startAtMs: number,
  random: Random,
): DemoRequest {
  const requestId = `${kind}-${index}`;
  const between = (low: number, high: number): number =>
    low + Math.floor(random.next() * (high - low));
  switch (kind) {
    case 'brief': {
      const prompt = `Route brief for shift ${index % 3}. ${'Collect, inspect, report. '.repeat(40)}`;
      const maxTokens = between(250, 400);
      return createAnswerRequest(
        requestId,
        DEMO_KEYS.routing,
        'route-brief',
        prompt,
        maxTokens,
        0,
        startAtMs,
      );
    }
    case 'prompt': {
      const prompt = `Next turn for crew ${index}, heading north on the ring road.`;
      const maxTokens = between(12, 40);
      return createAnswerRequest(
        requestId,
        DEMO_KEYS.routing,
        'in-cab',
        prompt,
        maxTokens,
        0,
        startAtMs,
      );
    }
    case 'feedback': {
      const prompt = `Feedback for student ${index}: violin. ${'Bar by bar, kindly. '.repeat(30)}`;
      const maxTokens = between(120, 200);
      return createAnswerRequest(
        requestId,
        DEMO_KEYS.haneul,
        'feedback-sheet',
        prompt,
        maxTokens,
        60,
        startAtMs,
      );
    }
    case 'booking':
      return {
        kind: 'call',
        requestId,
        key: DEMO_KEYS.haneul,
        service: 'booking',
        operation: 'book-room',
        startAtMs,
      };
  }
}

function createAnswerRequest(
  requestId: string,
  key: string,
  service: string,
  prompt: string,
  maxTokens: number,
  paceTokensPerSecond: number,
  startAtMs: number,
): DemoAnswerRequest {
  return {
    kind: 'answer',
    requestId,
    key,
    service,
    prompt,
    maxTokens,
    paceTokensPerSecond,
    startAtMs,
  };
}
