/** Runs one demonstration. */
import { delay, systemTimers } from '@limelead/types';
import createSeededRandom from './seeded-random.js';
import startDemoCluster, { type DemoCluster } from './demo-cluster.js';
import FaultInjector, { type FaultName } from './fault-injector.js';
import printEvents from './print-events.js';
import assembleReport, { type DemoReport } from './report.js';
import { runAnswerRequest, runCall, type AnswerRecord, type CallRecord } from './run-request.js';
import createWorkload, { type DemoRequest } from './workload.js';

/** Tokens at all callers together after which the fault comes. */
const TOKENS_BEFORE_FAULT = 200;
/** Time after which a target that leaves must get no new request. */
const LEAVING_GRACE_MS = 4_000;
const LATE_CHECK_INTERVAL_MS = 50;

/** What is demonstrated. */
export interface DemoOptions {
  fault: FaultName;
  seed: number;
  requests: number;
  /** Takes the lines of the narration; absent tells nothing. */
  print?: (line: string) => void;
}

/** Runs it; resolves with the report after everything was stopped. */
export default async function runDemo(options: DemoOptions): Promise<DemoReport> {
  const cluster = await startDemoCluster();
  const printing = new AbortController();
  try {
    if (options.print !== undefined) {
      startPrintingEvents(cluster, options.print, printing.signal);
    }
    return await runOnCluster(cluster, options);
  } finally {
    printing.abort();
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
  // A caller knows all addresses, as behind a balancer; each begins with another VM.
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

/** Fires after so many notes, or when told to. */
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

/** Counts generations that begin on a leaving engine after the grace. */
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
