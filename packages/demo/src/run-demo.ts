/** Runs one demonstration. */
import { delay, systemTimers } from '@limelead/types';
import createSeededRandom from './seeded-random.js';
import startDemoCluster, { type DemoCluster } from './demo-cluster.js';
import FaultInjector, { type FaultName } from './fault-injector.js';
import printEvents from './print-events.js';
import assembleReport, { type DemoReport } from './report.js';
import { runAnswerRequest, runCall, type AnswerRecord, type CallRecord } from './run-request.js';
import createWorkload, { type DemoRequest } from './workload.js';

/** Number of tokens, over all callers, after which the fault is injected. */
const TOKENS_BEFORE_FAULT = 200;
/** Time after the announcement from which a leaving engine must get no new generation. */
const LEAVING_GRACE_MS = 4_000;
const LATE_CHECK_INTERVAL_MS = 50;

/** Options of a demonstration. */
export interface DemoOptions {
  fault: FaultName;
  seed: number;
  requests: number;
  /** Prints a line about an event; no events are printed if absent. */
  print?: (line: string) => void;
}

/** Runs a demonstration; resolves with the report once the cluster is stopped. */
export default async function runDemo(options: DemoOptions): Promise<DemoReport> {
  const cluster = await startDemoCluster();
  const printAbort = new AbortController();
  try {
    if (options.print !== undefined) {
      startPrintingEvents(cluster, options.print, printAbort.signal);
    }
    return await runOnCluster(cluster, options);
  } finally {
    printAbort.abort();
    await cluster.stop();
  }
}

async function runOnCluster(cluster: DemoCluster, options: DemoOptions): Promise<DemoReport> {
  const { fault, seed, requests, print } = options;
  const workload = createWorkload(requests, createSeededRandom(seed));
  const injector = new FaultInjector(cluster, systemTimers, performance.now());
  const trigger = createTrigger(TOKENS_BEFORE_FAULT);
  const injection = trigger.fired.then(async () => {
    print?.(`fault: ${fault}`);
    await injector.inject(fault);
  });
  const lateMonitor = new LateGenerationMonitor(cluster, injector.leavingSinceMs);
  const results = await Promise.all(
    workload.map((request, index) => runRequest(cluster, request, index, trigger.recordToken)),
  );
  trigger.fire();
  await injection;
  await injector.waitForRecovery();
  lateMonitor.stop();
  return assembleReport({
    fault,
    seed,
    answers: results.filter(isAnswer),
    calls: results.filter((result): result is CallRecord => !isAnswer(result)),
    engines: cluster.engines,
    countRuns: (requestId) =>
      cluster.plainServices.reduce((sum, service) => sum + (service.runs().get(requestId) ?? 0), 0),
    lateWorkOnLeaving: lateMonitor.lateGenerations,
    faults: injector.injected,
  });
}

async function runRequest(
  cluster: DemoCluster,
  request: DemoRequest,
  index: number,
  onToken: () => void,
): Promise<AnswerRecord | CallRecord> {
  await delay(systemTimers, request.startAtMs);
  // Callers know the URLs of all VMs; the index spreads first attempts over them.
  const urls = cluster.vms.map(({ url }) => url);
  return request.kind === 'answer'
    ? runAnswerRequest(request, urls, index, onToken)
    : runCall(request, urls, index);
}

function isAnswer(record: AnswerRecord | CallRecord): record is AnswerRecord {
  return record.request.kind === 'answer';
}

function startPrintingEvents(
  cluster: DemoCluster,
  print: (line: string) => void,
  signal: AbortSignal,
): void {
  const startedAtMs = performance.now();
  const printWithTime = (line: string): void => {
    const seconds = ((performance.now() - startedAtMs) / 1000).toFixed(2);
    print(`${seconds.padStart(7)} s  ${line}`);
  };
  cluster.vms.forEach(({ url }) => void printEvents(url, printWithTime, signal));
}

/** Creates a trigger that fires after a number of tokens, or when `fire` is called. */
function createTrigger(tokenCount: number) {
  let fire: () => void = () => undefined;
  let remaining = tokenCount;
  const fired = new Promise<void>((resolve) => (fire = resolve));
  const recordToken = (): void => {
    remaining -= 1;
    if (remaining === 0) {
      fire();
    }
  };
  return { fired, fire: () => fire(), recordToken };
}

/** Counts generations that begin on a leaving engine after the grace period. */
class LateGenerationMonitor {
  lateGenerations = 0;
  private readonly knownGenerations = new Map<string, number>();
  private readonly timer: NodeJS.Timeout;

  constructor(
    private readonly cluster: DemoCluster,
    private readonly leavingSinceMs: ReadonlyMap<string, number>,
  ) {
    this.timer = setInterval(() => this.check(), LATE_CHECK_INTERVAL_MS);
  }

  stop(): void {
    this.check();
    clearInterval(this.timer);
  }

  private check(): void {
    for (const [id, since] of this.leavingSinceMs) {
      const engine = this.cluster.engines.find((candidate) => candidate.id === id);
      const begun = engine?.records().length ?? 0;
      const known = this.knownGenerations.get(id);
      this.knownGenerations.set(id, begun);
      if (known !== undefined && Date.now() - since > LEAVING_GRACE_MS) {
        this.lateGenerations += begun - known;
      }
    }
  }
}
