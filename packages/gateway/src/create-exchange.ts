/** Connects a gateway's components to the exchange with its peers. */
import type { DecisionLog } from '@limelead/decision-log';
import type { StoreFollower } from '@limelead/follow-store';
import type { Locality } from '@limelead/locality';
import type { TargetGate } from '@limelead/forward-request';
import type { SendLimiter } from '@limelead/permit-sends';
import type { CallQueue } from '@limelead/queue-calls';
import type { RequestGuard } from '@limelead/quarantine-requests';
import { PeerExchange, type PeerId, type PeerReport } from '@limelead/share-evidence';
import type { RetryBudgets } from '@limelead/spend-retries';
import type { Backpressure } from '@limelead/track-backpressure';
import type { OriginTracker } from '@limelead/track-origins';
import type { ReachTracker } from '@limelead/track-reach';
import type { TargetDirectory, TargetLoss } from '@limelead/track-service-targets';
import { systemRandom, systemTimers, type Clock } from '@limelead/types';
import { randomUUID } from 'node:crypto';
import type { IncomingMessage, ServerResponse } from 'node:http';
import type EngineLoad from './engine-load.js';
import type FairSharesComponent from './fair-shares-component.js';
import formatAddress from './format-address.js';
import type StoreView from './store-view.js';
import type { GatewaySettings } from './settings.js';
import TargetScheduler from './target-scheduler.js';

/** A loss that a peer reports. */
export interface PeerLoss {
  target: string;
  loss: TargetLoss;
  peer: PeerId;
}

/** The components and handlers that the exchange uses. */
export interface ExchangeDependencies {
  settings: GatewaySettings;
  clock: Clock;
  log: DecisionLog;
  directory: TargetDirectory;
  locality: Locality;
  storeView: StoreView;
  follower: StoreFollower;
  engineLoad: EngineLoad;
  retryBudgets: RetryBudgets;
  reach: ReachTracker;
  guard: RequestGuard;
  permits: SendLimiter;
  callQueue: CallQueue;
  backpressure: Backpressure;
  origins: OriginTracker;
  gate: TargetGate;
  shares: FairSharesComponent;
  storeAddress: string;
  onPeerOfOtherStore(peer: PeerId): void;
  /** Called with a target that a peer lost. */
  onPeerLoss(loss: PeerLoss): void;
  onFault(): void;
  onRequest(message: IncomingMessage, response: ServerResponse): boolean;
  onMisdirected(message: IncomingMessage): void;
  onBorrowedRetries(service: string, repeats: number): void;
  onReport(peer: PeerId, report: PeerReport): void;
}

/** Creates the exchange with peers; undefined if this VM has no peer address. */
export default function createExchange(
  dependencies: ExchangeDependencies,
): PeerExchange | undefined {
  const { settings, clock, log, directory, locality, storeView } = dependencies;
  const { follower, engineLoad, retryBudgets } = dependencies;
  const { failureDomain, peers, seeds } = settings;
  if (peers === undefined) {
    return undefined;
  }
  const id = formatAddress(peers);
  const { gate, permits } = dependencies;
  const scheduler = new TargetScheduler({
    ...{ self: id, clock, directory, locality, gate, permits },
    memoryTokensOf: (service) => storeView.routes?.findService(service)?.engine?.memoryTokens ?? 0,
    placesByMemoryAndPace: settings.placesByMemoryAndPace ?? false,
  });
  return new PeerExchange({
    ...peers,
    id,
    incarnation: randomUUID(),
    failureDomain,
    region: locality.region,
    seeds: seeds.map(formatAddress),
    secret: settings.peerSecret,
    storeAddress: dependencies.storeAddress,
    clock,
    timers: systemTimers,
    random: systemRandom,
    log,
    readSyncState: () => ({
      revision: storeView.revision,
      configuration: storeView.routes?.version ?? 0,
      configurationBytes: storeView.configurationBytes,
      isStoreAnswering: follower.isReceivingChanges,
      hasStoreCallFailed: follower.isStoreUnavailable,
    }),
    readStoreMarks: () => storeView.listFingerprints(),
    onForeignPeer: dependencies.onPeerOfOtherStore,
    onFault: dependencies.onFault,
    onRequest: dependencies.onRequest,
    onMisdirected: dependencies.onMisdirected,
    readStoreUpdate: (since) => storeView.createUpdate(since),
    readUnreached: () => dependencies.reach.listUnreached(),
    readLoad: () => engineLoad.read(),
    onPeerLoad: (peer, load) => directory.onPeerLoad(peer, load),
    adviseTarget: (peer, question) => scheduler.advise(peer, question),
    onTargetLost: (target, loss, peer) => dependencies.onPeerLoss({ target, loss, peer }),
    onProbeAnswers: (answers) => directory.onPeerProbeAnswers(answers),
    readQuarantineState: () => dependencies.guard.createSnapshot(),
    onQuarantineUpdate: (quarantineUpdate, peer) =>
      dependencies.guard.onPeerUpdate(quarantineUpdate, peer),
    readLimits: () => dependencies.permits.listLimits(),
    onLimits: (updates, peer) => dependencies.permits.onPeerUpdate(peer, updates),
    readLeaving: () => dependencies.backpressure.listLeaving(),
    onLeaving: (updates, peer) => dependencies.backpressure.onPeerUpdate(peer, updates),
    readOrigins: () => dependencies.origins.listOwn(),
    onOrigins: (origins) => dependencies.origins.onPeerOrigins(origins),
    readOriginEvidence: (stream) => dependencies.origins.readEvidence(stream),
    readBrittle: () => dependencies.backpressure.listBrittle(),
    onBrittle: (updates, peer) => dependencies.backpressure.onPeerBrittle(peer, updates),
    onPermitMessage: (message, peer) => dependencies.permits.onMessage(peer, message),
    onPermitPeerLost: (peer) => dependencies.permits.onPeerLost(peer),
    onQueueMessage: (message, peer) => dependencies.callQueue.onMessage(peer, message),
    onQueuePeerLost: (peer) => dependencies.callQueue.onVmLost(peer),
    listRetryNeeds: (service) => retryBudgets.listNeeds(service),
    lendRetries: (service, wanted, needs) => retryBudgets.lend(service, wanted, needs),
    readDemand: () => dependencies.shares.readDemand(),
    onPeerDemand: (demands, peer) => dependencies.shares.onPeerDemand(peer, demands),
    onRetriesBorrowed: dependencies.onBorrowedRetries,
    onReport: dependencies.onReport,
    onStoreUpdate: (update, peer) => storeView.applyPeerUpdate(update, peer),
  });
}
