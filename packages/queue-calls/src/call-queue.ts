/**
 * Shared queues of services with few slots. One VM per service, the queue VM, gives the places at
 * its targets to the calls of all VMs. A service with ample slots causes no messages, and one under
 * light load only reports of calls in progress, for which no call waits.
 */
import {
  createRateLimitedLog,
  type DecisionLog,
  type RateLimitedLog,
} from '@limelead/decision-log';
import type { Metrics } from '@limelead/metrics';
import type {
  Clock,
  Random,
  ReleasePlace,
  Timers,
  WaitingCall,
  WaitingCallQueue,
} from '@limelead/types';
import { compareInTimeFirst, type CompareCalls } from './order-calls.js';
import { toQueueState } from './queue-audience.js';
import QueueClient from './queue-client.js';
import QueueHost from './queue-host.js';
import type { QueueMessage } from './queue-messages.js';
import type { QueueFleet, QueueTargets } from './queue-ports.js';
import { EQUAL_SHARES, type ShareOrder } from './share-order.js';

/** Calls that a target gets beyond its slots, since a round trip between VMs would leave it idle. */
const EXTRA_CALLS = 1;

/** Dependencies of `CallQueue`. */
export interface CallQueueOptions {
  clock: Clock;
  timers: Timers;
  random: Random;
  log: Pick<DecisionLog, 'write'>;
  metrics: Pick<Metrics, 'count' | 'gauge' | 'recordMs'>;
  fleet: QueueFleet;
  targets: QueueTargets;
  /** Creates the fair shares of a service; all organisations are alike if omitted. */
  createShares?(service: string): ShareOrder;
  compare?: CompareCalls;
  extraCalls?: number;
}

interface ServiceQueue {
  client: QueueClient;
  host: QueueHost;
}

const NO_CALLS: WaitingCallQueue = {
  list: () => [],
  serve: () => undefined,
  serveAt: () => false,
  refuse: () => undefined,
  isAvoided: () => false,
};

/** Queues of all services at one VM. */
export default class CallQueue {
  private readonly services = new Map<string, ServiceQueue>();
  private queue: WaitingCallQueue = NO_CALLS;
  private readonly logCall: RateLimitedLog;
  private readonly logIsolation: RateLimitedLog;

  constructor(private readonly options: CallQueueOptions) {
    const { log, clock } = options;
    this.logCall = createRateLimitedLog(log, clock, 'call-queued');
    this.logIsolation = createRateLimitedLog(log, clock, 'call-queue-alone');
  }

  /** Sets the calls for which places are requested. */
  attach(queue: WaitingCallQueue): void {
    this.queue = queue;
  }

  /** Whether calls of a service need places now. */
  isQueued(service: string): boolean {
    return this.services.get(service)?.client.isQueued ?? false;
  }

  /** Whether a call may be sent without a place. */
  canSend(service: string): boolean {
    return this.services.get(service)?.client.canSendAlone ?? true;
  }

  /** Records a call that is sent now. */
  recordSend(
    target: string,
    service: string,
    call?: Pick<WaitingCall, 'objectiveAtMs'>,
  ): ReleasePlace {
    if (this.options.targets.isEngine(service)) {
      return () => undefined;
    }
    const { client } = this.open(service);
    const sentAtMs = this.options.clock.now();
    const isQueued = client.isQueued;
    client.onCallStarted();
    let isReleased = false;
    return (outcome) => {
      if (isReleased) {
        return;
      }
      isReleased = true;
      const now = this.options.clock.now();
      if (isQueued && outcome === 'answered' && call !== undefined) {
        this.countAnswer(now <= call.objectiveAtMs);
      }
      client.onCallEnded(target, now - sentAtMs, outcome);
    };
  }

  /** Calls of a service started or stopped waiting. */
  onQueueChanged(service: string): void {
    this.services.get(service)?.client.onQueueChanged();
  }

  /** Handles a message of a VM. */
  onMessage(vm: string, message: QueueMessage): void {
    const { service } = message;
    if (this.options.targets.isEngine(service)) {
      return;
    }
    const { client, host } = this.open(service);
    if (message.kind === 'queue-state') {
      client.onState(vm, message);
      return;
    }
    if (message.kind === 'give-places') {
      client.onGiven(vm, message);
      return;
    }
    const { fleet } = this.options;
    if (fleet.chooseQueueVm(service) !== fleet.self) {
      host.resign();
      return;
    }
    if (client.isQueued) {
      host.takeOver();
    }
    switch (message.kind) {
      case 'report-calls':
        host.onReport(vm, message);
        break;
      case 'ask-places':
        host.onAsk(vm, message);
        break;
      case 'release-place':
        host.onReleased(vm, message);
        break;
    }
  }

  /** The link to a VM is lost. */
  onVmLost(vm: string): void {
    for (const { client, host } of this.services.values()) {
      host.onVmLost(vm);
      client.onVmLost(vm);
    }
  }

  private countAnswer(isInTime: boolean): void {
    const outcome = isInTime ? 'in-time' : 'late';
    this.options.metrics.count('limelead_queued_calls_total', 1, { outcome });
  }

  private open(service: string): ServiceQueue {
    const known = this.services.get(service);
    if (known !== undefined) {
      return known;
    }
    const { options, logCall, logIsolation } = this;
    const { fleet, metrics } = options;
    const host: QueueHost = new QueueHost({
      ...options,
      service,
      shares: options.createShares?.(service) ?? EQUAL_SHARES,
      compare: options.compare ?? compareInTimeFirst,
      extraCalls: options.extraCalls ?? EXTRA_CALLS,
      onState: (isQueued) => client.onState(fleet.self, toQueueState(service, isQueued)),
      onGiven: (given) => client.onGiven(fleet.self, given),
    });
    const client: QueueClient = new QueueClient({
      ...options,
      ...{ service, host, logCall, logIsolation },
      queue: () => this.queue,
    });
    const created = { client, host };
    this.services.set(service, created);
    metrics.gauge('limelead_queue_length', () => host.length, { service });
    return created;
  }
}
