/** Types that the parts of the exchange share. */
import type { DecisionLog } from '@limelead/decision-log';
import type { StoreItem } from '@limelead/follow-store';
import type { LimitUpdate, PermitMessage } from '@limelead/permit-sends';
import type { QueueMessage } from '@limelead/queue-calls';
import type { QuarantineUpdate } from '@limelead/quarantine-requests';
import type {
  ReportedTargetLoad,
  PeerProbeAnswer,
  TargetLoss,
  PeerLoadUpdate,
} from '@limelead/track-service-targets';
import type { BrittleUpdate, LeavingUpdate } from '@limelead/track-backpressure';
import type {
  AdviceRequest,
  Clock,
  Millis,
  OriginEvidence,
  Random,
  RetryNeed,
  ServiceDemand,
  StreamKey,
  StreamOrigin,
  Timers,
} from '@limelead/types';
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { PeerReport } from './report-messages.js';

/** An address at which VMs reach each other, as "host:port". */
export type PeerId = string;

/** A peer to which a link is up. */
export interface LinkedPeer {
  peer: PeerId;
  /** Steady time. */
  linkedAtMs: Millis;
}

/** How far this VM is synchronised with the store. */
export interface StoreSyncState {
  /** Revision up to which this VM is current; 0 before the first list. */
  revision: number;
  /** Version of the configuration in force; 0 for none. */
  configuration: number;
  /** Bytes of the configuration in force; 0 for none. */
  configurationBytes: number;
  /** Whether the store currently answers this VM. */
  isStoreAnswering: boolean;
  /** Whether this VM's last call to the store failed. */
  hasStoreCallFailed: boolean;
}

/** Changes of the store that a peer has and this VM lacks. */
export interface StoreUpdate {
  /** Items written after this VM's revision. */
  items: StoreItem[];
  /** Keys deleted after that revision. */
  gone: string[];
  /** Keys of all existing items if not all deletions are known; any other key is deleted. */
  present?: string[];
  revision: number;
}

/** Targets that a VM detected as lost. */
export interface LostTargets {
  /** Targets that seem to be down. */
  targets: string[];
  /** Targets whose address another incarnation holds. */
  replaced: string[];
}

/** The load of a VM at one target. */
export interface TargetLoad extends ReportedTargetLoad {
  id: string;
}

/** A request for advice as a scheduler receives it. */
export interface SchedulerRequest extends AdviceRequest {
  /** Failure domain of the VM that asks. */
  failureDomain: string;
  /** Number of the request, counted from 1 by each VM. */
  number: number;
  /** Partition of the targets to choose from, out of `parts`. */
  part: number;
  parts: number;
}

/** Advice of a scheduler. */
export type SchedulerAnswer =
  | {
      target: string;
      /** Replica target for the run's memory. */
      copyTo?: string;
      noRoom?: undefined;
    }
  /** No target has enough free memory for the run now; it may wait and ask again. */
  | { target?: undefined; copyTo?: undefined; noRoom: true };

/** Settings, dependencies and event handlers of a `PeerExchange`. */
export interface PeerExchangeOptions {
  id: PeerId;
  incarnation: string;
  host: string;
  port: number;
  failureDomain: string;
  /** Region of this VM; undefined if the fleet has one region. */
  region?: string;
  seeds: PeerId[];
  /** Shared secret; both ends of each link prove that they know it. */
  secret: string;
  /** Address of the store in this VM's settings, as "host:port". */
  storeAddress: string;
  clock: Clock;
  timers: Timers;
  random: Random;
  log: DecisionLog;
  readSyncState(): StoreSyncState;
  /** Returns the store items that this VM knows after a revision; 0 for all. */
  readStoreUpdate(since: number): StoreUpdate;
  /**
   * Returns marks of data that only this VM's store can hold; empty until the store answered. See
   * `PeerStoreVerifier`.
   */
  readStoreMarks(): readonly number[];
  /** Called when a peer follows another store; its link is closed. */
  onForeignPeer(peer: PeerId): void;
  /** Takes over a plain HTTP request at the address for peers; returns false to leave it. */
  onRequest?(message: IncomingMessage, response: ServerResponse): boolean;
  /** Called when such a request is left; it is not executed. */
  onMisdirected?(message: IncomingMessage): void;
  /** Called when a message of a peer caused an unexpected error. */
  onFault(): void;
  /** Returns the open requests of this VM at each target. */
  readLoad(): TargetLoad[];
  /** Called with the load that a peer reports; empty after the peer is lost. */
  onPeerLoad(peer: PeerId, load: PeerLoadUpdate): void;
  /** Chooses a target for a stream of a peer; undefined if no target has a free slot. */
  adviseTarget(peer: PeerId, request: SchedulerRequest): SchedulerAnswer | undefined;
  /** Returns the services whose targets this VM does not reach. */
  readUnreached(): string[];
  /** Called with a target that a peer lost. */
  onTargetLost(target: string, loss: TargetLoss, peer: PeerId): void;
  /** Called with targets that answered probes of a peer. */
  onProbeAnswers(answers: PeerProbeAnswer[]): void;
  /** Returns all known suspected and quarantined requests, for a newly linked peer. */
  readQuarantineState(): QuarantineUpdate;
  /** Called with the quarantine update of a peer. */
  onQuarantineUpdate(update: QuarantineUpdate, peer: PeerId): void;
  /** Returns the limits that targets reported, for a newly linked peer. */
  readLimits(): LimitUpdate[];
  /** Called with limits that a peer published. */
  onLimits(updates: LimitUpdate[], peer: PeerId): void;
  /** Returns all targets that announced that they are leaving, for a newly linked peer. */
  readLeaving(): LeavingUpdate[];
  /** Called with leaving targets that a peer published. */
  onLeaving(updates: LeavingUpdate[], peer: PeerId): void;
  /** Returns all brittle targets, for a newly linked peer. */
  readBrittle(): BrittleUpdate[];
  /** Called with brittle targets that a peer published. */
  onBrittle(updates: BrittleUpdate[], peer: PeerId): void;
  /** Called when a peer requests, grants or returns permits. */
  onPermitMessage(message: PermitMessage, peer: PeerId): void;
  /** Called when the link to a peer is lost that may have open permits or requests for permits. */
  onPermitPeerLost(peer: PeerId): void;
  /** Called with a message of a peer about places at the targets of queued services. */
  onQueueMessage(message: QueueMessage, peer: PeerId): void;
  /** Called when the link to a peer is lost that may use or give places. */
  onQueuePeerLost(peer: PeerId): void;
  /** Returns the streams that this VM served and that a newly linked peer has to know. */
  readOrigins(): StreamOrigin[];
  /** Called with streams that a peer served. */
  onOrigins(origins: StreamOrigin[]): void;
  /** Returns what this VM knows of the version that began a stream. */
  readOriginEvidence(stream: StreamKey): OriginEvidence;
  /** Returns the demand of organisations at this VM; undefined if no part counts it. */
  readDemand?(): ServiceDemand[];
  /** Called with the demand of organisations at a peer. */
  onPeerDemand?(demands: ServiceDemand[], peer: PeerId): void;
  /** Called with store changes of a peer that is at a later revision. */
  onStoreUpdate(update: StoreUpdate, peer: PeerId): void;
  /** Returns the retries that waiting requests of a service lack, by class; empty if none wait. */
  listRetryNeeds(service: string): RetryNeed[];
  /**
   * Returns how many retries of the service's budget to lend to a peer.
   * @param needs the same by class; undefined if the peer is of an older release
   */
  lendRetries(service: string, wanted: number, needs?: RetryNeed[]): number;
  /** Called with the retries that a peer lent. */
  onRetriesBorrowed(service: string, retries: number): void;
  /** Called with a report of a peer; undefined if nothing in this VM handles reports. */
  onReport?(peer: PeerId, report: PeerReport): void;
}

/** The store state that a peer last reported. */
export interface PeerSyncState {
  revision: number;
  configuration: number;
  configurationBytes: number;
}

/** State of one linked peer. */
export interface PeerState extends PeerSyncState {
  linkedAtMs: Millis;
  receivedAtMs: Millis;
  /** Whether the peer chose this VM for gossip. */
  isChosenByPeer: boolean;
  /** Whether all members were sent to the peer. */
  hasReceivedMembers: boolean;
}
