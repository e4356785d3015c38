/** What forwarding needs from the rest of the process. */
import type { DecisionLog } from '@limelead/decision-log';
import type { Locality } from '@limelead/locality';
import type { Metrics } from '@limelead/metrics';
import type { RequestGuard } from '@limelead/quarantine-requests';
import type { RouteTable } from '@limelead/route-requests';
import type { RetrySpender } from '@limelead/spend-retries';
import type { TargetConnections } from '@limelead/target-connections';
import type { TargetDirectory } from '@limelead/track-service-targets';
import type { RequestTargetAdvice, Clock, Millis, Timers } from '@limelead/types';
import type { TargetDialect } from './dialect.js';
import type KeptPrompts from './kept-prompts.js';
import type SlotQueue from './slot-queue.js';
import type ReadingTime from './reading-time.js';
import type { SendPermits } from './send-permits.js';
import type { TargetBackpressure } from './target-backpressure.js';
import type SilenceWatch from './silence-watch.js';
import type { TargetGate } from './target-gate.js';
import type TargetPace from './target-pace.js';
import type { TrafficObserver } from './traffic-observer.js';

/** Everything that requests of one VM share. */
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
  /** Keeps requests that end targets from further ones. */
  guard: RequestGuard;
  permits: SendPermits;
  backpressure: TargetBackpressure;
  /** Asks the scheduler of a large fleet where a stream should go. */
  askTarget: RequestTargetAdvice;
  silence: SilenceWatch;
  kept: KeptPrompts;
  reading: ReadingTime;
  pace: TargetPace;
  log: DecisionLog;
  metrics: Metrics;
  /** Told of each request; empty where no part counts traffic. */
  observer: TrafficObserver;
  /** The configuration in force. */
  readTable(): RouteTable | undefined;
  /** Time since the store last confirmed what this VM knows, in milliseconds. */
  readKnowledgeAgeMs(): Millis;
  /** Who told the configuration in force: "store", or the address of a peer. */
  readConfigurationSource(): string | undefined;
  retriesOf(service: string): RetrySpender;
  /** VMs that share the retry budget, this one included. */
  countVms(): number;
}
