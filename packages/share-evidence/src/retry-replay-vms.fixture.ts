/** VMs of the replay of domain losses, with the rules before and after priorities. */
import {
  PrioritisedRetryBudget,
  RetryBudgetTracker,
  type RetryRequest,
} from '@limelead/spend-retries';
import type { RetryNeed } from '@limelead/types';
import pickRandomEntries from './pick-random-entries.js';
import RetryBorrower from './retry-borrower.js';
import { LIMITS, MAX_PAUSE_MS, type Break, type Replay } from './retry-replay.fixture.js';

const DEADLINE_MS = 25_000;
/** Time in which a target refuses a connection. */
const UNREACHABLE_MS = 10;

/** The rule before: each stream polls, and VMs with less than one retry left ask three peers. */
export class PollingVm {
  // First attempts were counted for one bucket more than now.
  private readonly budget = new RetryBudgetTracker({ ...LIMITS, ratio: LIMITS.ratio * 1.05 }, () =>
    this.borrow(),
  );
  private askedAtMs = -Infinity;

  constructor(
    private readonly replay: Replay,
    private readonly id: number,
  ) {}

  recordFirst(): void {
    this.budget.recordFirstAttempt(this.replay.clock.now());
  }

  lend(needs: RetryNeed[]): number {
    const { clock, plan } = this.replay;
    return this.budget.lend(clock.now(), plan.vms, needs[0]?.retries ?? 0);
  }

  resume(broken: Break, failures = 0, sinceMs = this.replay.clock.now()): void {
    const { clock, plan } = this.replay;
    if (!this.budget.trySpend(clock.now(), plan.vms)) {
      this.replay.recordRefusal();
      const delayMs = Math.min(150, 50 * 2 ** failures);
      this.replay.after(delayMs, () => this.resume(broken, failures + 1, sinceMs));
    } else if (this.replay.isUnreachable()) {
      this.replay.after(UNREACHABLE_MS, () => {
        this.budget.refund(clock.now());
        this.resume(broken);
      });
    } else {
      if (failures > 0) {
        this.replay.recordWait(sinceMs);
      }
      this.replay.recordRetry();
      this.replay.onResumed(broken);
    }
  }

  private borrow(): void {
    const { clock } = this.replay;
    if (clock.now() - this.askedAtMs < 100) {
      return;
    }
    this.askedAtMs = clock.now();
    const needs = [{ class: 'stream-unwritten', retries: 0.5 }];
    pickRandomEntries(this.replay.listPeers(this.id), 3, this.replay).forEach((peer) =>
      this.replay.lendFrom(Number(peer), needs, (retries) =>
        this.budget.borrow(clock.now(), retries),
      ),
    );
  }
}

/** The rule after: one queue by priority, and peers are asked for what it lacks. */
export class PriorityVm {
  private readonly borrower: RetryBorrower;
  private readonly budget: PrioritisedRetryBudget;

  constructor(
    private readonly replay: Replay,
    id: number,
  ) {
    const { clock } = replay;
    const shared = { clock, timers: replay, random: replay };
    this.borrower = new RetryBorrower({
      ...shared,
      listPeers: () => replay.listPeers(id),
      listNeeds: () => this.budget.needs,
      sendRequest: (peer, _, needs) =>
        replay.lendFrom(Number(peer), needs, (retries) => this.budget.borrow(clock.now(), retries)),
    });
    this.budget = new PrioritisedRetryBudget({
      ...shared,
      limits: LIMITS,
      countVms: () => replay.plan.vms + 1,
      onLow: () => this.borrower.requestRetries('s'),
      borrowForWaiters: () => this.borrower.requestForWaiters('s'),
      onRequestEnded: ({ hasWaited, outcome, waitedMs }) => {
        if (hasWaited && outcome === 'granted') {
          replay.recordRefusal();
          replay.recordWait(clock.now() - waitedMs);
        }
      },
    });
  }

  recordFirst(): void {
    this.budget.recordFirstAttempt(this.replay.clock.now(), true);
  }

  lend(needs: RetryNeed[]): number {
    return this.budget.lendForNeeds(needs);
  }

  resume(broken: Break): void {
    const { stream, lastPieceAtMs, hasWritten } = broken;
    const written = stream.hasReplica ? 'stream-with-replica' : 'stream-written';
    const request: RetryRequest = {
      class: hasWritten ? written : 'stream-unwritten',
      rank: 1,
      lateAtMs: hasWritten ? lastPieceAtMs + MAX_PAUSE_MS : stream.startedAtMs + 4_506,
      untilMs: stream.startedAtMs + DEADLINE_MS,
    };
    this.budget.requestRetry(request, (decision) => {
      if (decision.outcome === 'granted') {
        this.send(broken, () => this.budget.recordSent(decision.retry, this.replay.clock.now()));
      }
    });
  }

  private send(broken: Break, recordSent: () => void): void {
    if (this.replay.isUnreachable()) {
      this.replay.after(UNREACHABLE_MS, () => this.send(broken, recordSent));
    } else {
      recordSent();
      this.replay.recordRetry();
      this.replay.onResumed(broken);
    }
  }
}
