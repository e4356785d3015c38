/** Components of a gateway with a fleet-wide task, such as a duty that one VM at a time holds. */
import type { DecisionLog } from '@limelead/decision-log';
import type { TargetGate, TrafficObserver } from '@limelead/forward-request';
import type { Metrics } from '@limelead/metrics';
import type { PeerExchange, PeerId, PeerReport } from '@limelead/share-evidence';
import type { TargetDirectory } from '@limelead/track-service-targets';
import type { Clock, Millis, Random, Timers } from '@limelead/types';
import type { GatewayPlatform } from './gateway.js';
import type StoreView from './store-view.js';
import type { GatewaySettings } from './settings.js';

/** What every component may use. */
export interface FleetComponentContext {
  settings: GatewaySettings;
  platform: GatewayPlatform;
  /** Monotonic. */
  clock: Clock;
  timers: Timers;
  random: Random;
  log: DecisionLog;
  metrics: Metrics;
  directory: TargetDirectory;
  storeView: StoreView;
  /** Time since the store last confirmed this VM's view. */
  readStoreViewAgeMs(): Millis;
  /** The exchange with peers; undefined while the gateway is constructed, and without a peer address. */
  readExchange(): PeerExchange | undefined;
}

/** A component that the gateway starts, informs and stops. */
export interface FleetComponent {
  /** Receives the events of each request. */
  observer?: TrafficObserver;
  /** Decides which targets may receive a request; at most one component has a gate. */
  gate?: TargetGate;
  /** Called after each change of the store view. */
  onStoreViewChange?(): void;
  /** Called with each report of a peer, of any kind. */
  onReport?(peer: PeerId, report: PeerReport): void;
  /** Called when the gateway listens and begins to follow the store. */
  start(): void;
  /** Called when a graceful stop begins; resolves when another VM can take over this VM's duties. */
  handOver(): Promise<void>;
  /** Called when all requests are finished, before the links to peers close. */
  onDrained?(): void;
}
