/** Protocols and a configuration for the tests of the front door. */
import { LimeleadError } from '@limelead/errors';
import { NO_STOPS, type TargetDialect } from '@limelead/forward-request';
import { NO_DIRECTIVES, type ServingConfiguration, type ServingRoute } from '@limelead/types';
import * as E from 'fp-ts/lib/Either.js';
import type { IngressDialect } from './index.js';

export const ingress: IngressDialect = {
  parseHeaders(rawHeaders) {
    const read = (name: string): string | undefined => {
      const index = rawHeaders.findIndex((part, at) => at % 2 === 0 && part.toLowerCase() === name);
      return index < 0 ? undefined : rawHeaders[index + 1];
    };
    const requestId = read('id');
    if (requestId === undefined) {
      return E.left(new LimeleadError('invalid-request', 'no id'));
    }
    return E.right({
      ...{ requestId, key: read('key'), affinityKey: '', promptTokens: 0 },
      lastPiece: Number(read('last') ?? 0),
      firstAttemptId: read('first-attempt'),
    });
  },
  progressHeaders: { timeoutMs: 'timeout', lastPiece: 'last', firstAttemptId: 'first-attempt' },
};

export const targets: TargetDialect = {
  composeCall: ({ request, organisation }) => ({
    method: request.method,
    path: request.path,
    headers: ['host', 'test', 'id', request.requestId, 'organisation', organisation ?? ''],
    body: request.body,
  }),
  readAnswer: (request, { headers }) => ({
    isForRequest: headers.get('id') === request.requestId,
    notRun: false,
    isOtherTarget: false,
    directives: NO_DIRECTIVES,
  }),
  ...NO_STOPS,
  composeProbe: () => ({ method: 'GET', path: '/', headers: [], body: Buffer.alloc(0) }),
  readProbe: () => undefined,
  composeCacheQuery: () => ({ method: 'GET', path: '/', headers: [], body: Buffer.alloc(0) }),
  readCachedPrompts: () => new Set(),
};

const route: ServingRoute = {
  name: 'calls',
  host: 'vans.example',
  pathPrefix: '/call/',
  shares: [{ service: 'calls', weight: 1 }],
  streaming: false,
  repeatable: false,
  timeoutMs: 2_000,
  objectiveMs: 500,
  maxTargets: 1,
  rank: 1,
  open: false,
};

export const configuration: ServingConfiguration = {
  version: 1,
  routes: [route],
  services: [{ name: 'calls', maxConnections: 10 }],
  organisations: [{ name: 'north', keys: ['good'] }],
  limits: {
    maxHeaderBytes: 2_000,
    maxBodyBytes: 1_000,
    headerTimeoutMs: 300,
    idleTimeoutMs: 400,
  },
};
