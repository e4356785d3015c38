/** Simulated store and platform with faults, and VMs whose counts differ. */
import { PortFault } from '@limelead/errors';
import type { Duty } from '@limelead/hold-duty';
import type {
  ConditionalStore,
  DutyAnswer,
  DutyPlatform,
  PortCall,
  WriteOutcome,
} from '@limelead/ports';
import * as E from 'fp-ts/lib/Either.js';
import UsageRecord from './usage-record.js';
import UsageReporter from './usage-reporter.js';

export const WINDOW_MS = 5_000;
export const SETTLE_AFTER_MS = 2_000;
const DUTY_KEY = 'duty';
const USAGE_KEY = 'usage';

/**
 * Outcome of a call: done and answered, done without an answer, done later without an answer, or
 * not done.
 */
export type CallOutcome = 'answered' | 'unanswered' | 'late' | 'undone';

/** Shared state of several VMs and their calls. */
export default class ReportingSimulation {
  now = 0;
  readonly reports: { window: number; counts: string; token: number }[] = [];
  readonly lines: string[] = [];
  /** Outcomes of the next calls, in order; further calls are answered. */
  writeOutcomes: CallOutcome[] = [];
  callOutcomes: (CallOutcome | DutyAnswer)[] = [];
  /** Calls that are carried out later. */
  readonly late: (() => void)[] = [];
  token = 1;
  isIsolated = false;
  /** Called when the store carries out a write. */
  onWrite: () => void = () => undefined;
  private revision = 100;
  record: { value: Buffer; revision: number } | undefined;

  /** Creates a VM with counts of its own; it holds the duty while `readToken` returns a token. */
  createVm(name: string, readToken: () => number | undefined, countedFrom = 0): UsageReporter {
    return this.createReporter(this.createDuty(name, readToken), countedFrom);
  }

  /** Creates a reporter with a given duty. */
  createReporter(duty: Duty, countedFrom = 0): UsageReporter {
    const clock = { now: () => this.now };
    return new UsageReporter({
      duty,
      platform: this.createPlatform(),
      record: new UsageRecord(this.createStore(), USAGE_KEY, DUTY_KEY),
      clock,
      trueTime: clock,
      windowMs: WINDOW_MS,
      settleAfterMs: SETTLE_AFTER_MS,
      sum: (window) => new Map([[duty.holder, window]]),
      isIsolated: () => this.isIsolated,
      readCountedFrom: () => countedFrom,
      onPlatformUnreachable: () => void this.lines.push('unreachable'),
      events: {
        onSettled: ({ window }) => void this.lines.push(`settled ${window}`),
        onReported: ({ window }) => void this.lines.push(`reported ${window}`),
        onSkipped: ({ from, to, reason }) =>
          void this.lines.push(`skipped ${from}-${to} ${reason}`),
        onUnreadable: (_revision, upTo) => void this.lines.push(`unreadable, left out to ${upTo}`),
        onGivenUp: (window) => void this.lines.push(`given up ${window}`),
        onCallFailed: (call) => void this.lines.push(`${call} failed`),
      },
    });
  }

  private createDuty(name: string, readToken: () => number | undefined): Duty {
    return {
      holder: name,
      permit: () => {
        const token = readToken();
        return token === undefined ? undefined : { token, heldSinceMs: 0 };
      },
      markTokenOutdated: (token) => void this.lines.push(`outdated ${token}`),
    };
  }

  /** Returns windows that were reported with different counts. */
  listInconsistent(): number[] {
    const first = new Map<number, string>();
    return this.reports
      .filter(({ window, counts }) => {
        const firstCounts = first.get(window) ?? counts;
        first.set(window, firstCounts);
        return firstCounts !== counts;
      })
      .map(({ window }) => window);
  }

  /** Returns the reported windows in the order of their first report. */
  listWindows(): number[] {
    return [...new Set(this.reports.map(({ window }) => window))];
  }

  private createPlatform(): DutyPlatform {
    return {
      reportUsage:
        ({ token }, { window, counts }) =>
        async () => {
          const callOutcome = this.callOutcomes.shift() ?? 'answered';
          const accept = (): void =>
            void this.reports.push({ window, counts: JSON.stringify([...counts]), token });
          return perform(callOutcome, accept, this.late, 'taken');
        },
      orderTargets: () => async () => E.right('invalid'),
    };
  }

  private createStore(): ConditionalStore {
    const unused = (): PortCall<never> => async () =>
      E.left(new PortFault('invalid', 'no', 'not used'));
    return {
      read: (key) => async () => E.right(this.record && { key, ...this.record }),
      write: (conditions, writes) => async () => {
        const callOutcome = this.writeOutcomes.shift() ?? 'answered';
        let outcome: WriteOutcome = { kind: 'mismatch' };
        const write = (): void => {
          this.onWrite();
          const isCurrent = conditions.every(
            ({ key, revision }) =>
              revision === (key === DUTY_KEY ? this.token : (this.record?.revision ?? 0)),
          );
          const [put] = writes;
          if (isCurrent && put?.kind === 'put') {
            this.revision += 1;
            this.record = { value: put.value, revision: this.revision };
            outcome = { kind: 'written', revision: this.revision };
          }
        };
        const result = perform(callOutcome, write, this.late, undefined);
        return E.isLeft(result) ? result : E.right(outcome);
      },
      grantLease: unused,
      renewLease: unused,
      endLease: unused,
    };
  }
}

function perform<Value>(
  callOutcome: CallOutcome | DutyAnswer,
  run: () => void,
  late: (() => void)[],
  value: Value,
): E.Either<PortFault, Value | DutyAnswer> {
  if (callOutcome === 'answered' || callOutcome === 'taken') {
    run();
    return E.right(value);
  }
  if (callOutcome === 'refused' || callOutcome === 'too-many' || callOutcome === 'invalid') {
    return E.right(callOutcome);
  }
  if (callOutcome === 'unanswered') {
    run();
  } else if (callOutcome === 'late') {
    late.push(run);
  }
  return E.left(new PortFault('timeout', 'maybe', callOutcome));
}
