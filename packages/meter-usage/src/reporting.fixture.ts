/** A store and a platform with troubles, and VMs whose counts differ. */
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

/** What becomes of one call: done and answered, done unheard, done later unheard, or not done. */
export type CallOutcome = 'answered' | 'unheard' | 'late' | 'undone';

/** Everything that several VMs share, and what they did to it. */
export default class ReportingSimulation {
  now = 0;
  readonly reports: { window: number; counts: string; token: number }[] = [];
  readonly lines: string[] = [];
  /** Fates of the calls to come, in order; what follows is answered. */
  writeOutcomes: CallOutcome[] = [];
  callOutcomes: (CallOutcome | DutyAnswer)[] = [];
  /** Writes that are carried out later. */
  readonly late: (() => void)[] = [];
  token = 1;
  isIsolated = false;
  /** Called when the store carries a write out. */
  onWrite: () => void = () => undefined;
  private revision = 100;
  record: { value: Buffer; revision: number } | undefined;

  /** A VM with counts of its own; it holds the duty where `readToken` gives a token. */
  createVm(name: string, readToken: () => number | undefined, countedFrom = 0): UsageReporter {
    return this.createReporter(this.createDuty(name, readToken), countedFrom);
  }

  /** A VM with a duty of the test's. */
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
      onPlatformUnreachable: () => void this.lines.push('unreached'),
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

  /** Windows that were told with differing counts. */
  listDiffering(): number[] {
    const first = new Map<number, string>();
    return this.reports
      .filter(({ window, counts }) => {
        const known = first.get(window) ?? counts;
        first.set(window, known);
        return known !== counts;
      })
      .map(({ window }) => window);
  }

  /** Windows that the platform heard of, in the order of the first word. */
  listWindows(): number[] {
    return [...new Set(this.reports.map(({ window }) => window))];
  }

  private createPlatform(): DutyPlatform {
    return {
      reportUsage:
        ({ token }, { window, counts }) =>
        async () => {
          const fate = this.callOutcomes.shift() ?? 'answered';
          const take = (): void =>
            void this.reports.push({ window, counts: JSON.stringify([...counts]), token });
          return perform(fate, take, this.late, 'taken');
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
        const fate = this.writeOutcomes.shift() ?? 'answered';
        let outcome: WriteOutcome = { kind: 'mismatch' };
        const write = (): void => {
          this.onWrite();
          const stands = conditions.every(
            ({ key, revision }) =>
              revision === (key === DUTY_KEY ? this.token : (this.record?.revision ?? 0)),
          );
          const [put] = writes;
          if (stands && put?.kind === 'put') {
            this.revision += 1;
            this.record = { value: put.value, revision: this.revision };
            outcome = { kind: 'written', revision: this.revision };
          }
        };
        const result = perform(fate, write, this.late, undefined);
        return E.isLeft(result) ? result : E.right(outcome);
      },
      grantLease: unused,
      renewLease: unused,
      endLease: unused,
    };
  }
}

function perform<Value>(
  fate: CallOutcome | DutyAnswer,
  run: () => void,
  late: (() => void)[],
  value: Value,
): E.Either<PortFault, Value | DutyAnswer> {
  if (fate === 'answered' || fate === 'taken') {
    run();
    return E.right(value);
  }
  if (fate === 'refused' || fate === 'too-many' || fate === 'invalid') {
    return E.right(fate);
  }
  if (fate === 'unheard') {
    run();
  } else if (fate === 'late') {
    late.push(run);
  }
  return E.left(new PortFault('timeout', 'maybe', fate));
}
