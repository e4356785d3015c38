/** A simple dialect of targets for the tests of this package. */
import { readDirectives } from '@limelead/track-backpressure';
import type { StopAnswer, TargetDialect } from './dialect.js';

const DIRECTIVE_HEADERS = { limit: 'limit', retryAfter: 'retry-after', leaving: 'leaving' };

const STOP_OUTCOMES: Readonly<Record<number, StopAnswer['outcome'] | undefined>> = {
  200: 'stopped',
  404: 'no-such-run',
  409: 'busy',
};

const dialect: TargetDialect = {
  composeCall: ({ request, target, lastPiece, replicaTarget, resumeFrom }) => ({
    method: request.method,
    path: request.path,
    body: request.body,
    headers: [
      ...['host', 'test', 'id', request.requestId, 'target', target.id],
      ...[
        'last',
        String(lastPiece),
        'copy-to',
        replicaTarget?.id ?? '',
        'from',
        resumeFrom?.target.id ?? '',
      ],
    ],
  }),
  readAnswer: (request, { status, headers }) => ({
    isForRequest: headers.has('not-run') || headers.get('id') === request.requestId,
    notRun: headers.has('not-run'),
    isOtherTarget: status === 421,
    directives: readDirectives({ status, headers }, DIRECTIVE_HEADERS, Date.now()),
  }),
  composeProbe: () => ({
    method: 'GET',
    path: '/probe',
    headers: ['host', 'test'],
    body: Buffer.alloc(0),
  }),
  composeStop: (_, { runId }) => ({
    method: 'POST',
    path: '/stop',
    headers: ['host', 'test', 'id', runId],
    body: Buffer.alloc(0),
  }),
  readStopAnswer: ({ status }) => ({ outcome: STOP_OUTCOMES[status] ?? 'unclear' }),
  composeMemoryRelease: () => ({
    method: 'POST',
    path: '/free',
    headers: ['host', 'test'],
    body: Buffer.alloc(0),
  }),
  composeCacheQuery: () => ({
    method: 'GET',
    path: '/kept',
    headers: ['host', 'test'],
    body: Buffer.alloc(0),
  }),
  readCachedPrompts: (body) => new Set(body.toString().split(' ')),
  readProbe: (body) => ({ runs: new Set(body.toString().split(' ')), waiting: 0 }),
};

export default dialect;
