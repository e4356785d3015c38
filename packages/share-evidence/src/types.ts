/** Shapes that the parts of the exchange share. */
import type { DecisionLog } from '@limelead/decision-log';
import type { StoreItem } from '@limelead/follow-store';
import type { LimitUpdate, PermitMessage } from '@limelead/permit-sends';
import type { QuarantineUpdate } from '@limelead/quarantine-requests';
import type {
  ReportedTargetLoad,
  TargetLoss,
  PeerLoadUpdate,
} from '@limelead/track-service-targets';
import type { LeavingUpdate } from '@limelead/track-backpressure';
import type { AdviceRequest, Clock, Millis, Random, Timers } from '@limelead/types';
import type { IncomingMessage } from 'node:http';
import type { PeerReport } from './report-messages.js';

/** An address on which VMs reach each other, as "host:port". */
export type PeerId = string;

/** A peer to which a link is up. */
export interface LinkedPeer {
  peer: PeerId;
  /** Steady time. */
  linkedAtMs: Millis;
}

/** What this VM knows of the store. */
export interface StoreKnowledge {
  /** Revision up to which it knows everything; 0 before the first list. */
  revision: number;
  /** Version of the configuration in force; 0 for none. */
  configuration: number;
  /** Bytes of the configuration in force; 0 for none. */
  configurationBytes: number;
  /** Whether the store answers this VM now. */
  isInTouch: boolean;
  /** Whether this VM's last call to the store failed. */
  isStoreAway: boolean;
}

/** What a peer knows of the store that this VM does not. */
export interface StoreUpdate {
  /** Items that were written behind the revision known here. */
  items: StoreItem[];
  /** Keys that went behind that revision. */
  gone: string[];
  /** Keys of all items that are there, where not all that went is known; what is missing is gone. */
  present?: string[];
  revision: number;
}

/** Targets that a VM found lost. */
export interface LostTargets {
  /** Those that seem down. */
  targets: string[];
  /** Those whose address another incarnation holds. */
  replaced: string[];
}

/** A VM's load at one target. */
export interface TargetLoad extends ReportedTargetLoad {
  id: string;
}

/** A request for advice as a scheduler gets it. */
export interface TargetQuestion extends AdviceRequest {
  /** Failure domain of the VM that asks. */
  failureDomain: string;
  /** Questions of one VM are numbered from 1. */
  number: number;
  /** Only targets of this part, out of so many, are looked at. */
  part: number;
  parts: number;
}

/** What a scheduler answers. */
export interface TargetAnswer {
  target: string;
  /** Where a copy of the run may stand. */
  copyTo?: string;
}

/** What the exchange needs. */
export interface EvidenceExchangeOptions {
  id: PeerId;
  incarnation: string;
  host: string;
  port: number;
  failureDomain: string;
  /** Region of this VM; undefined where the fleet is in one. */
  region?: string;
  seeds: PeerId[];
  /** Both ends of each link prove that they know it. */
  secret: string;
  /** Address of the store in this VM's settings, as "host:port". */
  storeAddress: string;
  clock: Clock;
  timers: Timers;
  random: Random;
  log: DecisionLog;
  readKnowledge(): StoreKnowledge;
  /** What this VM knows of the store beyond a revision; 0 for everything. */
  readUpdate(since: number): StoreUpdate;
  /** Marks of what only this VM's store can have written; none before it answered. See `SameStore`. */
  readMarks(): readonly number[];
  /** A peer follows another store; the link to it is ended. */
  onStranger(peer: PeerId): void;
  /** A plain request came to the peers' address, where nothing of it is run. */
  onMisdirected?(message: IncomingMessage): void;
  /** A message of a peer could not be taken by a fault of this program. */
  onFault(): void;
  /** Requests of this VM under way, target by target. */
  readLoad(): TargetLoad[];
  /** The load that a peer told; empty once it is lost. */
  onLoad(peer: PeerId, load: PeerLoadUpdate): void;
  /** A peer asks where a stream should go; undefined where no target has a place. */
  adviseTarget(peer: PeerId, question: TargetQuestion): TargetAnswer | undefined;
  onLost(target: string, loss: TargetLoss): void;
  /** What this VM knows of requests that may end targets, for a peer that has just met it. */
  readGuardNews(): QuarantineUpdate;
  /** A peer told of such requests. */
  onGuardNews(news: QuarantineUpdate, peer: PeerId): void;
  /** Limits that targets named, for a peer that has just met this one. */
  readLimits(): LimitUpdate[];
  /** A peer told such limits. */
  onLimits(facts: LimitUpdate[], peer: PeerId): void;
  /** All targets that announced that they leave, for a newly linked peer. */
  readLeaving(): LeavingUpdate[];
  /** A peer published leaving targets. */
  onLeaving(facts: LeavingUpdate[], peer: PeerId): void;
  /** A peer asks, gives or returns permits to send. */
  onPermits(message: PermitMessage, peer: PeerId): void;
  /** The link to a peer that may have asked or given some is lost. */
  onPermitPeerLost(peer: PeerId): void;
  /** A peer told what the store held at a later revision than this VM knows. */
  onUpdate(update: StoreUpdate, peer: PeerId): void;
  /** A peer asks for repeats of a retry budget; gives how many it gets. */
  lendRepeats(service: string, wanted: number): number;
  /** A peer lent repeats. */
  onRepeats(service: string, repeats: number): void;
  /** A peer gave a report; undefined where no part of this VM reads any. */
  onReport?(peer: PeerId, report: PeerReport): void;
}

/** What a peer last said that it knows. */
export interface PeerKnowledge {
  revision: number;
  configuration: number;
  configurationBytes: number;
}

/** One peer, as this VM is linked to it. */
export interface PeerState extends PeerKnowledge {
  linkedAtMs: Millis;
  heardAtMs: Millis;
  /** Whether the peer chose this VM for gossip. */
  isWantedThere: boolean;
  /** Whether the peer was named all members once. */
  isGreeted: boolean;
}
