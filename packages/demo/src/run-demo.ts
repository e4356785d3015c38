/** Runs one demonstration. */
import { delay, systemTimers } from '@limelead/types';
import createSeededRandom from './seeded-random.js';
import startDemoCluster, { type DemoCluster } from './demo-cluster.js';
import FaultInjector, { type FaultName } from './inject-faults.js';
import narrate from './narrate.js';
import assembleReport, { type DemoReport } from './report.js';
import { runAnswer, runCall, type AnswerRecord, type CallRecord } from './run-work.js';
import createWorkload, { type Work } from './workload.js';

/** Tokens at all callers together after which the fault comes. */
const TOKENS_BEFORE_FAULT = 200;
/** Time after which a target that leaves must get no new work. */
const LEAVE_GRACE_MS = 4_000;
const LATE_CHECK_MS = 50;

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
  const narration = new AbortController();
  try {
    if (options.print !== undefined) {
      startNarration(cluster, options.print, narration.signal);
    }
    return await runOn(cluster, options);
  } finally {
    narration.abort();
    await cluster.stop();
  }
}

async function runOn(cluster: DemoCluster, options: DemoOptions): Promise<DemoReport> {
  const { fault, seed, requests, print } = options;
  const workload = createWorkload(requests, createSeededRandom(seed));
  const injector = new FaultInjector(cluster, systemTimers, performance.now());
  const trigger = createTrigger(TOKENS_BEFORE_FAULT);
  const injection = trigger.fired.then(async () => {
    print?.(`fault: ${fault}`);
    await injector.inject(fault);
  });
  const leaveWatch = new LeaveWatch(cluster, injector.leavingSince);
  const results = await Promise.all(
    workload.map((work, index) => runWork(cluster, work, index, trigger.note)),
  );
  trigger.fire();
  await injection;
  await injector.settle();
  leaveWatch.stop();
  return assembleReport({
    fault,
    seed,
    answers: results.filter(isAnswer),
    calls: results.filter((result): result is CallRecord => !isAnswer(result)),
    engines: cluster.engines,
    runsOf: (requestId) =>
      cluster.plainServices.reduce((sum, service) => sum + (service.runs().get(requestId) ?? 0), 0),
    lateWorkOnLeaving: leaveWatch.late,
    faults: injector.injected,
  });
}

async function runWork(
  cluster: DemoCluster,
  work: Work,
  index: number,
  onToken: () => void,
): Promise<AnswerRecord | CallRecord> {
  await delay(systemTimers, work.startAtMs);
  // A caller knows all addresses, as behind a balancer; each begins with another VM.
  const urls = cluster.vms.map(({ url }) => url);
  return work.kind === 'answer'
    ? runAnswer(work, urls, index, onToken)
    : runCall(work, urls, index);
}

function isAnswer(record: AnswerRecord | CallRecord): record is AnswerRecord {
  return record.work.kind === 'answer';
}

function startNarration(
  cluster: DemoCluster,
  print: (line: string) => void,
  signal: AbortSignal,
): void {
  const startedAtMs = performance.now();
  const printWithTime = (line: string): void => {
    const seconds = ((performance.now() - startedAtMs) / 1000).toFixed(2);
    print(`${seconds.padStart(7)} s  ${line}`);
  };
  cluster.vms.forEach(({ url }) => void narrate(url, printWithTime, signal));
}

/** Fires after so many notes, or when told to. */
function createTrigger(after: number) {
  let fire: () => void = () => undefined;
  let left = after;
  const fired = new Promise<void>((resolve) => (fire = resolve));
  const note = (): void => {
    left -= 1;
    if (left === 0) {
      fire();
    }
  };
  return { fired, fire: () => fire(), note };
}

/** Counts generations that begin on a leaving engine after the grace. */
class LeaveWatch {
  late = 0;
  private readonly known = new Map<string, number>();
  private readonly timer: NodeJS.Timeout;

  constructor(
    private readonly cluster: DemoCluster,
    private readonly leavingSince: ReadonlyMap<string, number>,
  ) {
    this.timer = setInterval(() => this.look(), LATE_CHECK_MS);
  }

  stop(): void {
    this.look();
    clearInterval(this.timer);
  }

  private look(): void {
    for (const [id, since] of this.leavingSince) {
      const engine = this.cluster.engines.find((candidate) => candidate.id === id);
      const begun = engine?.records().length ?? 0;
      const known = this.known.get(id);
      this.known.set(id, begun);
      if (known !== undefined && Date.now() - since > LEAVE_GRACE_MS) {
        this.late += begun - known;
      }
    }
  }
}
