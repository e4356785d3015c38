/** Dependencies of forwarding on the rest of the process. */
import type { DecisionLog } from '@limelead/decision-log';
import type { Locality } from '@limelead/locality';
import type { Metrics } from '@limelead/metrics';
import type { RequestGuard } from '@limelead/quarantine-requests';
import type { RouteTable } from '@limelead/route-requests';
import type { PrioritisedRetryBudget } from '@limelead/spend-retries';
import type { TargetConnections } from '@limelead/target-connections';
import type { TargetDirectory } from '@limelead/track-service-targets';
import type { RequestTargetAdvice, Clock, Millis, Timers } from '@limelead/types';
import type { TargetDialect } from './dialect.js';
import type CachedPromptFinder from './cached-prompt-finder.js';
import type SlotQueue from './slot-queue.js';
import type PrefillEstimator from './prefill-estimator.js';
import type RunStopper from './run-stopper.js';
import type { RequestRelay } from './request-relay.js';
import type { SendPermits } from './send-permits.js';
import type { TargetBackpressure } from './target-backpressure.js';
import type ReadPauses from './read-pauses.js';
import type { StreamOrigins } from './stream-origins.js';
import type SilenceMonitor from './silence-monitor.js';
import type { TargetGate } from './target-gate.js';
import type SlownessTracker from './slowness-tracker.js';
import type { TrafficObserver } from './traffic-observer.js';

/** State and services shared by all requests of one VM. */
export interface ForwardContext {
  clock: Clock;
  timers: Timers;
  failureDomain: string;
  locality: Locality;
  directory: TargetDirectory;
  connections: TargetConnections;
  dialect: TargetDialect;
  slots: SlotQueue;
  gate: TargetGate;
  /** Quarantines requests that crash targets. */
  guard: RequestGuard;
  permits: SendPermits;
  relay: RequestRelay;
  origins: StreamOrigins;
  backpressure: TargetBackpressure;
  /** Asks the scheduler of a large fleet for a target for a stream. */
  requestAdvice: RequestTargetAdvice;
  silence: SilenceMonitor;
  /** Ends the runs that leave their targets. */
  runStopper: RunStopper;
  cachedPrompts: CachedPromptFinder;
  prefill: PrefillEstimator;
  slowness: SlownessTracker;
  /** False if engines are chosen by slots alone, without the tokens that they hold. Default: true. */
  placesByMemoryAndPace?: boolean;
  readPauses: ReadPauses;
  log: DecisionLog;
  metrics: Metrics;
  /** Receives the events of each request; empty if no part observes traffic. */
  observer: TrafficObserver;
  /** Routes of the current configuration; undefined until one is loaded. */
  readRouteTable(): RouteTable | undefined;
  /** Milliseconds since the store last confirmed the configuration of this VM. */
  readStoreViewAgeMs(): Millis;
  /** Source of the current configuration: "store" or the address of a peer. */
  readConfigurationSource(): string | undefined;
  retryBudgetOf(service: string): PrioritisedRetryBudget;
}
