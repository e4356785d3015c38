/** Probes targets: at most one probe at a time per target, with one repeat on a fault. */
import type { TargetConnections } from '@limelead/target-connections';
import {
  RecentTimes,
  type CancelTimer,
  type Clock,
  type Millis,
  type ServiceTarget,
  type Timers,
} from '@limelead/types';
import type { ProbeResult, TargetDialect } from './dialect.js';
import queryTarget from './query-target.js';

/** Time for which probes are remembered. */
const PROBE_MEMORY_MS = 5_000;
/** Time left in which a repeat can still be answered. */
const MIN_REPEAT_MS = 10;
/** A timeout that is noticed this much late says nothing: the process was stalled. */
const MAX_TIMER_DELAY_MS = 40;
/** Time after a timeout for reading an answer that arrived during a shorter stall. */
const READ_MS = 2;

/** An answer to a probe; the result is undefined if it does not list runs. */
export interface AnsweredProbe {
  sentAtMs: Millis;
  result: ProbeResult | undefined;
}

export interface TargetProberOptions {
  clock: Clock;
  timers: Timers;
  connections: TargetConnections;
  dialect: TargetDialect;
  /** Whether a delayed probe is still needed. */
  isNeeded(target: ServiceTarget): boolean;
  onAnswered(target: ServiceTarget, answer: AnsweredProbe): void;
  onFailed(target: ServiceTarget, sentAtMs: Millis): void;
}

/** Parameters of a probe. */
export interface ProbeStart {
  /** Delay before the probe is sent; a shared answer may arrive meanwhile. */
  delayMs: Millis;
  /** Timeout of the whole probe from its sending. */
  timeoutMs: Millis;
}

interface PendingProbe {
  target: ServiceTarget;
  sentAtMs: Millis;
  deadlineAtMs: Millis;
  cancelDeadline: CancelTimer;
}

/** Sends probes and reports their results. */
export default class TargetProber {
  private readonly pending = new Map<string, PendingProbe>();
  private readonly delayed = new Set<string>();
  private readonly sent = new RecentTimes(PROBE_MEMORY_MS);

  constructor(private readonly options: TargetProberOptions) {}

  /** Whether a probe of the target is about to be sent, or in progress and ends within that time. */
  isProbing(targetId: string, withinMs: Millis): boolean {
    const pending = this.pending.get(targetId);
    const endsInTime =
      pending !== undefined && pending.deadlineAtMs <= this.options.clock.now() + withinMs;
    return endsInTime || this.delayed.has(targetId);
  }

  /**
   * Milliseconds since the last probe of the target was sent; undefined without one and while one
   * is in progress.
   */
  sentAgoMs(targetId: string): Millis | undefined {
    return this.pending.has(targetId)
      ? undefined
      : this.sent.ageMs(targetId, this.options.clock.now());
  }

  /** Probes a target. A probe in progress is kept, with the earlier of both timeouts. */
  probe(target: ServiceTarget, { delayMs, timeoutMs }: ProbeStart): void {
    const pending = this.pending.get(target.id);
    if (pending !== undefined) {
      this.limitTo(pending, this.options.clock.now() + timeoutMs);
    } else if (!this.delayed.has(target.id)) {
      this.delayed.add(target.id);
      const start = (): void => {
        this.delayed.delete(target.id);
        if (this.options.isNeeded(target)) {
          void this.send(target, timeoutMs);
        }
      };
      if (delayMs > 0) {
        this.options.timers.after(delayMs, start);
      } else {
        start();
      }
    }
  }

  private async send(target: ServiceTarget, timeoutMs: Millis): Promise<void> {
    const sentAtMs = this.options.clock.now();
    this.sent.record(target.id, sentAtMs);
    const deadlineAtMs = sentAtMs + timeoutMs;
    const probe: PendingProbe = {
      ...{ target, sentAtMs, deadlineAtMs },
      cancelDeadline: () => undefined,
    };
    this.pending.set(target.id, probe);
    this.startDeadline(probe);
    const answer = (await this.query(probe)) ?? (await this.repeat(probe, timeoutMs));
    this.finish(probe, answer);
  }

  /** Repeats a probe that failed before its timeout, or whose timeout a stall delayed. */
  private async repeat(probe: PendingProbe, timeoutMs: Millis): Promise<Buffer | undefined> {
    if (this.pending.get(probe.target.id) !== probe) {
      return undefined;
    }
    const now = this.options.clock.now();
    if (now >= probe.deadlineAtMs + MAX_TIMER_DELAY_MS) {
      probe.deadlineAtMs = now + timeoutMs;
      this.startDeadline(probe);
    }
    return probe.deadlineAtMs >= now + MIN_REPEAT_MS ? this.query(probe) : undefined;
  }

  /** Queries the target; the deadline of the probe ends before the timeout of the query. */
  private query({ target, deadlineAtMs }: PendingProbe): Promise<Buffer | undefined> {
    const { clock, connections, dialect, timers } = this.options;
    const timeoutMs = deadlineAtMs + MAX_TIMER_DELAY_MS - clock.now();
    return queryTarget({ connections, timers, timeoutMs }, target, dialect.composeProbe(target));
  }

  /** Ends the probe at its deadline, unless a stall delays the notice; see `repeat`. */
  private startDeadline(probe: PendingProbe): void {
    const { clock, timers } = this.options;
    probe.cancelDeadline();
    probe.cancelDeadline = timers.after(probe.deadlineAtMs - clock.now(), () => {
      if (clock.now() < probe.deadlineAtMs + MAX_TIMER_DELAY_MS) {
        probe.cancelDeadline = timers.after(READ_MS, () => this.finish(probe, undefined));
      }
    });
  }

  private limitTo(probe: PendingProbe, deadlineAtMs: Millis): void {
    if (deadlineAtMs < probe.deadlineAtMs) {
      probe.deadlineAtMs = deadlineAtMs;
      this.startDeadline(probe);
    }
  }

  private finish(probe: PendingProbe, body: Buffer | undefined): void {
    const { target, sentAtMs } = probe;
    if (this.pending.get(target.id) !== probe) {
      return;
    }
    this.pending.delete(target.id);
    probe.cancelDeadline();
    if (body === undefined) {
      this.options.onFailed(target, sentAtMs);
    } else {
      const result = this.options.dialect.readProbe(body);
      this.options.onAnswered(target, { sentAtMs, result });
    }
  }
}
