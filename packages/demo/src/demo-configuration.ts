/** The configuration of the demonstration, with two organisations. */
import type { ModelVersion, RecoveryPolicy, Resource } from '@limelead/types';
import { createHash } from 'node:crypto';

/** Public keys of the demonstration; a real system keeps its keys secret. */
export const DEMO_KEYS = {
  operator: 'demo-operator-key',
  routing: 'demo-routing-key',
  haneul: 'demo-haneul-key',
} as const;

/** Model versions that every engine of the demonstration has loaded. */
export const DEMO_VERSIONS = {
  brief: { model: 'depot-large', adapter: '', version: '2026-11' },
  prompt: { model: 'cab-small', adapter: 'canterbury', version: '7' },
  feedback: { model: 'tutor-large', adapter: 'music', version: '3' },
} as const satisfies Record<string, ModelVersion>;

/** Recovery policy that minimises resume latency. */
export const URGENT_RECOVERY: RecoveryPolicy = {
  suspicionFactor: 4,
  minSilenceMs: 100,
  maxSilenceMs: 500,
  hedge: true,
  probeFirst: false,
};

const WHOLE_RECOVERY: RecoveryPolicy = {
  suspicionFactor: 8,
  minSilenceMs: 300,
  maxSilenceMs: 1_500,
  hedge: false,
  probeFirst: false,
};

/** Recovery policy that minimises extra use of resources. */
export const FRUGAL_RECOVERY: RecoveryPolicy = {
  suspicionFactor: 12,
  minSilenceMs: 600,
  maxSilenceMs: 2_500,
  hedge: false,
  probeFirst: true,
};

/** Hashes a key as the configuration stores it. */
export function hashKey(key: string): string {
  return createHash('sha256').update(key).digest('hex');
}

/** Creates all resources of the demonstration. */
export function createDemoResources(): Resource[] {
  return [
    priority('urgent', 0, URGENT_RECOVERY),
    priority('interactive', 1, URGENT_RECOVERY),
    priority('whole', 2, WHOLE_RECOVERY),
    priority('paced', 3, FRUGAL_RECOVERY),
    modelService('route-brief', DEMO_VERSIONS.brief, 'whole'),
    modelService('in-cab', DEMO_VERSIONS.prompt, 'urgent'),
    modelService('feedback-sheet', DEMO_VERSIONS.feedback, 'paced'),
    {
      kind: 'service',
      spec: { name: 'booking', plain: { timeoutMs: 2_000 }, defaultPriority: 'interactive' },
    },
    organisation('limelead-routing', DEMO_KEYS.routing),
    organisation('haneul', DEMO_KEYS.haneul),
    { kind: 'operator', spec: { name: 'demo', keyHashes: [hashKey(DEMO_KEYS.operator)] } },
  ];
}

function priority(name: string, rank: number, recovery: RecoveryPolicy): Resource {
  return { kind: 'priority', spec: { name, rank, deadlineMs: 0, recovery, maxQueueMs: 10_000 } };
}

function modelService(name: string, model: ModelVersion, defaultPriority: string): Resource {
  return { kind: 'service', spec: { name, model, defaultPriority } };
}

function organisation(name: string, key: string): Resource {
  return {
    kind: 'organisation',
    spec: {
      name,
      keyHashes: [hashKey(key)],
      weight: 1,
      requestsPerSecond: 1_000,
      maxConcurrent: 1_000,
    },
  };
}
