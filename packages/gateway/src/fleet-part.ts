/** Parts of a gateway that look at the whole fleet, such as duties of one VM at a time. */
import type { DecisionLog } from '@limelead/decision-log';
import type { TargetGate, TrafficObserver } from '@limelead/forward-request';
import type { Metrics } from '@limelead/metrics';
import type { PeerExchange, PeerId, PeerReport } from '@limelead/share-evidence';
import type { TargetDirectory } from '@limelead/track-service-targets';
import type { Clock, Millis, Random, Timers } from '@limelead/types';
import type { GatewayPlatform } from './gateway.js';
import type Knowledge from './knowledge.js';
import type { GatewaySettings } from './settings.js';

/** What every part may use. */
export interface FleetPartContext {
  settings: GatewaySettings;
  platform: GatewayPlatform;
  /** Steady; for spans of time. */
  clock: Clock;
  timers: Timers;
  random: Random;
  log: DecisionLog;
  metrics: Metrics;
  directory: TargetDirectory;
  knowledge: Knowledge;
  /** Time since the store confirmed what this VM knows, in milliseconds. */
  readKnowledgeAgeMs(): Millis;
  /** The conversation with peers; undefined before the gateway is made, and without peers. */
  readExchange(): PeerExchange | undefined;
}

/** One part. */
export interface FleetPart {
  /** What it has to be told of each request. */
  observer?: TrafficObserver;
  /** Decides which targets may take a request; one part at most has one. */
  gate?: TargetGate;
  /** What is known of the store changed. */
  onKnowledge?(): void;
  /** A peer gave a report, which may be of a kind that this part does not read. */
  onReport?(peer: PeerId, report: PeerReport): void;
  /** The gateway listens, and begins to learn what there is to know. */
  start(): void;
  /** A planned stop began; resolves when another VM may go on with what this one did alone. */
  handOver(): Promise<void>;
  /** All requests are over, and links to peers are about to end. */
  leave?(): void;
}
