/** Dependencies, requests and collected answers for tests of generations. */
import chooseTarget from '@limelead/choose-target';
import { LimeleadError } from '@limelead/errors';
import createMetrics from '@limelead/metrics';
import createEventBus from '@limelead/observe-events';
import createRecoveryPacer from '@limelead/pace-recoveries';
import type { ModelEngine } from '@limelead/ports';
import type { ManualTime } from '@limelead/stand-ins';
import { createTargetTable, type TargetTable } from '@limelead/track-targets';
import type { AnswerMessage, GenerationRequest, Millis } from '@limelead/types';
import Generation, { createTokenGapTable, type GenerationDependencies } from './index.js';

/** Version that all engines have loaded. */
export const VERSION = { model: 'm', adapter: '', version: '1' };
/** Request of an urgent answer whose silent attempts are hedged. */
export const REQUEST: GenerationRequest = {
  requestId: 'r1',
  organisation: 'haneul',
  service: 'feedback-sheet',
  prompt: 'bar by bar',
  maxTokens: 100,
  priority: {
    name: 'urgent',
    rank: 0,
    deadlineMs: 0,
    maxQueueMs: 1_000,
    recovery: {
      suspicionFactor: 4,
      minSilenceMs: 100,
      maxSilenceMs: 500,
      hedge: true,
      probeFirst: false,
    },
  },
  paceTokensPerSecond: 0,
  resumable: true,
};

/** Applies a load report of an idle engine. */
export function applyReport(targets: TargetTable, id: string, now: Millis): void {
  const report = { takenAtMs: 0, running: 0, waiting: 0, slots: 8, tokenGapMs: 10, fence: 0 };
  targets.applyReport(id, { ...report, prefillTokensPerSecond: 1e6, loaded: [VERSION] }, now);
}

/** Creates dependencies with one usable target per engine; its port is the engine's index. */
export function createDependencies(time: ManualTime, engines: { port: Partial<ModelEngine> }[]) {
  const targets = createTargetTable({ maxListAgeMs: Number.MAX_SAFE_INTEGER });
  const vms = engines.map((_, index) => ({
    id: `e${index}`,
    role: 'engine' as const,
    host: '127.0.0.1',
    port: index,
    failureDomain: 'suwon',
    leaving: false,
    services: [],
  }));
  targets.applyList({ version: 1, vms }, 0);
  vms.forEach(({ id }) => applyReport(targets, id, time.clock.now()));
  let randomValue = 0;
  const dependencies: GenerationDependencies = {
    clock: time.clock,
    timers: time.timers,
    random: { next: () => (randomValue = (randomValue + 0.37) % 1) },
    metrics: createMetrics(),
    bus: createEventBus('vm-1', time.clock),
    targets,
    gaps: createTokenGapTable(),
    connector: {
      engine: (_, port) => engines[port]?.port as ModelEngine,
      plainService: () => {
        throw new Error('not used');
      },
      hashPrompt: () => [],
    },
    pacer: createRecoveryPacer(() => 10),
    chooseTarget,
    failureDomain: 'suwon',
    incarnation: 'vm-1.a',
    currentVersion: () => VERSION,
    abandonedGraceMs: 5_000,
    onBreakerOpened: () => undefined,
  };
  return dependencies;
}

/** Collects the messages of a generation. */
export function collect(generation: Generation) {
  const messages: AnswerMessage[] = [];
  const ended = (async () => {
    try {
      for await (const message of generation.messages()) {
        messages.push(message);
      }
      return 'complete';
    } catch (thrown) {
      return thrown instanceof LimeleadError ? thrown.kind : 'unexpected';
    }
  })();
  const tokens = () =>
    messages.flatMap((message) => (message.kind === 'tokens' ? message.tokens : []));
  return { messages, ended, tokens };
}

/** Begins a generation of the request with some changes. */
export function begin(
  dependencies: GenerationDependencies,
  change: Partial<GenerationRequest> = {},
) {
  return new Generation(dependencies, { ...REQUEST, ...change }, { tries: 0, delivered: [] });
}
