/**
 * The part of one VM in the queue of one service: reports its calls in progress to the queue VM,
 * and asks it for places while the service is queued. Without an answer the VM keeps to its part of
 * the slots.
 */
import type { RateLimitedLog } from '@limelead/decision-log';
import type { Metrics } from '@limelead/metrics';
import type {
  CancelTimer,
  Clock,
  Millis,
  PlaceOutcome,
  Random,
  Timers,
  WaitingCall,
  WaitingCallQueue,
} from '@limelead/types';
import AnswerWatch from './answer-watch.js';
import AskedCalls from './asked-calls.js';
import AvoidedTargets from './avoided-targets.js';
import { countOwnPart, hasBrittleTarget } from './brittle-targets.js';
import CallReporter from './call-reporter.js';
import type QueueHost from './queue-host.js';
import type { CallsInProgress, GivePlaces, QueueMessage, QueueState } from './queue-messages.js';
import { countSlots, type QueueFleet, type QueueTarget, type QueueTargets } from './queue-ports.js';
import { hasFewSlots } from './queue-switch.js';
import { toWant } from './to-queued-call.js';

/** Time after which a request that was not answered is repeated. */
const ASK_REPEAT_MS: Millis = 100;
/** Interval at which a VM names all its waiting calls, so that a lost message is noticed. */
const ASK_REFRESH_MS: Millis = 300;
/** Maximum number of waiting calls in one message; the others are named when these are served. */
const MAX_WANTS = 200;

/** Dependencies of `QueueClient`. */
export interface QueueClientOptions {
  service: string;
  fleet: QueueFleet;
  targets: QueueTargets;
  clock: Clock;
  timers: Timers;
  random: Random;
  host: QueueHost;
  queue(): WaitingCallQueue;
  metrics: Pick<Metrics, 'count' | 'recordMs'>;
  logCall: RateLimitedLog;
  logIsolation: RateLimitedLog;
}

/** Reports the calls of one VM at one service and asks for their places. */
export default class QueueClient {
  private queuedUntilMs: Millis = -Infinity;
  private cancelExpiry: CancelTimer | undefined;
  private cancelRepeat: CancelTimer | undefined;
  /** The queue VM of the last message. */
  private queueVm: string | undefined;
  private namedAllAtMs: Millis = -Infinity;
  /** Number of the last message of grants of each VM. */
  private readonly received = new Map<string, number>();
  private readonly avoided = new AvoidedTargets();
  private readonly asked: AskedCalls;
  private readonly reporter: CallReporter;
  private readonly answers: AnswerWatch;

  constructor(private readonly options: QueueClientOptions) {
    this.asked = new AskedCalls(options);
    this.answers = new AnswerWatch({ ...options, onIsolated: () => options.queue().serve() });
    this.reporter = new CallReporter({
      ...options,
      isQueued: () => this.isQueued,
      readReceived: () => this.received.get(this.queueVm ?? '') ?? 0,
      contactQueueVm: () => void this.contactQueueVm(),
      send: (inFlight, received) => this.sendReport(inFlight, received),
    });
  }

  get isQueued(): boolean {
    return this.queuedUntilMs > this.now;
  }

  /** Whether a call may be sent without a place. */
  get canSendAlone(): boolean {
    return !this.isQueued || (this.answers.isIsolated && this.isWithinOwnPart);
  }

  /** A call was sent. */
  onCallStarted(): void {
    if (this.hasFewSlots) {
      this.reporter.onChange();
    }
  }

  /** A call ended. */
  onCallEnded(target: string, tookMs: Millis, outcome: PlaceOutcome): void {
    if (this.isQueued) {
      const answeredMs = outcome === 'answered' ? Math.round(tookMs) : null;
      this.sendRelease(target, answeredMs, outcome === 'rejected');
    }
    if (this.hasFewSlots) {
      this.reporter.onChange();
    }
  }

  /** Calls started or stopped waiting. */
  onQueueChanged(): void {
    if (this.isQueued && this.listNew().length > 0) {
      this.ask(false);
    }
  }

  /** The queue VM switches queueing on, renews that, or switches it off. */
  onState(vm: string, { isQueued, ttlMs }: QueueState): void {
    if (!isQueued && vm !== this.options.fleet.chooseQueueVm(this.options.service)) {
      return;
    }
    const wasQueued = this.isQueued;
    this.cancelExpiry?.();
    this.queuedUntilMs = isQueued ? this.now + ttlMs : -Infinity;
    if (isQueued) {
      this.cancelExpiry = this.options.timers.after(ttlMs, () => this.onUnqueued());
      if (!wasQueued) {
        this.contactQueueVm();
        this.reporter.report();
      }
    } else if (wasQueued) {
      this.onUnqueued();
    }
  }

  /** The queue VM answered. */
  onGiven(vm: string, { number, grants, refusals }: GivePlaces): void {
    const queue = this.options.queue();
    this.received.set(vm, number);
    if (vm === this.queueVm) {
      this.answers.onAnswered();
    }
    for (const [want, target] of grants) {
      const wasAsked = this.asked.end(want, 'granted');
      if (!queue.serveAt(want, target)) {
        this.avoided.recordUnusable(target);
        this.options.metrics.count('limelead_places_unused_total');
        this.sendRelease(target, null, false, vm);
        if (wasAsked) {
          this.onQueueChanged();
        }
      }
    }
    for (const [want, retryAfterMs] of refusals) {
      if (this.asked.end(want, 'refused')) {
        this.options.metrics.count('limelead_queued_calls_total', 1, { outcome: 'refused' });
        queue.refuse(want, { retryAfterMs, grantedBy: vm });
      }
    }
  }

  /** The link to a VM is lost. */
  onVmLost(vm: string): void {
    this.received.delete(vm);
    if (vm === this.queueVm) {
      this.queueVm = undefined;
      this.reporter.reset();
      if (this.isQueued) {
        this.contactQueueVm();
        this.ask(true);
      }
    }
  }

  private get now(): Millis {
    return this.options.clock.now();
  }

  private listTargets(): readonly QueueTarget[] {
    return this.options.targets.list(this.options.service);
  }

  private get hasFewSlots(): boolean {
    const targets = this.listTargets();
    const vms = this.options.fleet.countVms();
    return hasFewSlots(countSlots(targets), vms) || hasBrittleTarget(targets);
  }

  /** Whether this VM, on its own, has fewer calls in progress than its part of the slots. */
  private get isWithinOwnPart(): boolean {
    const targets = this.listTargets();
    const ownCalls = targets.reduce((sum, { inFlight }) => sum + inFlight, 0);
    return ownCalls < countOwnPart(targets, this.options.fleet.countVms());
  }

  private listNew(): WaitingCall[] {
    const { queue, service } = this.options;
    return queue()
      .list(service)
      .filter(({ id }) => !this.asked.has(id));
  }

  private onUnqueued(): void {
    this.queuedUntilMs = -Infinity;
    this.cancelExpiry?.();
    this.answers.reset();
    this.avoided.clear();
    this.asked.endAll('unqueued');
    this.options.queue().serve();
  }

  /**
   * Determines the queue VM and, if it is another one than before, reports the calls in progress.
   * This VM continues the queue if it became the queue VM.
   */
  private contactQueueVm(): string | undefined {
    const { fleet, host, service } = this.options;
    const vm = fleet.chooseQueueVm(service);
    if (vm !== this.queueVm) {
      if (this.queueVm === fleet.self) {
        host.resign();
      }
      this.queueVm = vm;
      this.reporter.reset();
      if (vm === fleet.self && this.isQueued) {
        host.takeOver();
      } else if (vm !== undefined && this.isQueued) {
        this.reporter.report();
      }
    }
    return vm;
  }

  /** Asks for places for the calls that were not named yet, or for all. */
  private ask(isWhole: boolean): void {
    const { service, queue } = this.options;
    const before = this.queueVm;
    const vm = this.contactQueueVm();
    const isForAll = isWhole || vm !== before;
    const calls = (isForAll ? queue().list(service) : this.listNew()).slice(0, MAX_WANTS);
    this.namedAllAtMs = isForAll ? this.now : this.namedAllAtMs;
    this.asked.record(calls, isForAll);
    this.scheduleRepeat();
    if (vm === undefined) {
      this.answers.onUnanswered(vm);
      return;
    }
    this.answers.onAsked(vm);
    this.send(vm, {
      kind: 'ask-places',
      service,
      isWhole: isForAll,
      wants: calls.map((call) => toWant(call, this.now)),
      avoid: this.avoided.list(this.listTargets(), queue()),
      received: this.received.get(vm) ?? 0,
    });
  }

  /** Asks again while calls wait, also to notice that calls left. */
  private scheduleRepeat(): void {
    this.cancelRepeat ??= this.options.timers.after(ASK_REPEAT_MS, () => {
      this.cancelRepeat = undefined;
      if (!this.isQueued || (this.asked.size === 0 && this.listNew().length === 0)) {
        return;
      }
      if (this.answers.isUnanswered || this.now - this.namedAllAtMs >= ASK_REFRESH_MS) {
        this.ask(true);
      } else {
        this.scheduleRepeat();
      }
    });
  }

  /** @param vm VM that gave the place; the present queue VM if undefined */
  private sendRelease(
    target: string,
    tookMs: Millis | null,
    isRejected: boolean,
    vm = this.contactQueueVm(),
  ): void {
    const { service } = this.options;
    if (vm !== undefined) {
      this.send(vm, { kind: 'release-place', service, target, tookMs, isRejected });
    }
  }

  private sendReport(inFlight: CallsInProgress, received: number): void {
    const { service, fleet, host } = this.options;
    if (this.queueVm === fleet.self) {
      host.onOwnCall();
    } else if (this.queueVm !== undefined) {
      this.send(this.queueVm, { kind: 'report-calls', service, inFlight, received });
    }
  }

  private send(vm: string, message: QueueMessage): void {
    const { fleet, host } = this.options;
    if (vm !== fleet.self) {
      fleet.send(vm, message);
    } else if (message.kind === 'ask-places') {
      host.onAsk(vm, message);
    } else if (message.kind === 'release-place') {
      host.onReleased(vm, message);
    }
  }
}
