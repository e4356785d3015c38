/** Joins a gateway's knowledge, load and evidence to the conversation with its peers. */
import type { DecisionLog } from '@limelead/decision-log';
import type { StoreFollower } from '@limelead/follow-store';
import type { Locality } from '@limelead/locality';
import type { TargetGate } from '@limelead/forward-request';
import type { SendPermits } from '@limelead/permit-sends';
import type { RequestGuard } from '@limelead/quarantine-requests';
import { PeerExchange, type PeerId, type PeerReport } from '@limelead/share-evidence';
import type { RetryBudgets } from '@limelead/spend-retries';
import type { Backpressure } from '@limelead/track-backpressure';
import type { TargetDirectory } from '@limelead/track-service-targets';
import { systemRandom, systemTimers, type Clock } from '@limelead/types';
import { randomUUID } from 'node:crypto';
import type { IncomingMessage } from 'node:http';
import type EngineLoad from './engine-load.js';
import formatAddress from './format-address.js';
import type Knowledge from './knowledge.js';
import type { GatewaySettings } from './settings.js';
import TargetScheduler from './target-scheduler.js';

/** What the conversation is about. */
export interface ExchangeParts {
  settings: GatewaySettings;
  clock: Clock;
  log: DecisionLog;
  directory: TargetDirectory;
  locality: Locality;
  knowledge: Knowledge;
  follower: StoreFollower;
  engineLoad: EngineLoad;
  retries: RetryBudgets;
  guard: RequestGuard;
  permits: SendPermits;
  backpressure: Backpressure;
  gate: TargetGate;
  storeAddress: string;
  onStranger(peer: PeerId): void;
  onFault(): void;
  onMisdirected(message: IncomingMessage): void;
  onRepeats(service: string, repeats: number): void;
  onReport(peer: PeerId, report: PeerReport): void;
}

/** Creates the conversation; undefined where this VM has no address for peers. */
export default function createExchange(parts: ExchangeParts): PeerExchange | undefined {
  const { settings, clock, log, directory, locality, knowledge } = parts;
  const { follower, engineLoad, retries } = parts;
  const { failureDomain, peers, seeds } = settings;
  if (peers === undefined) {
    return undefined;
  }
  const id = formatAddress(peers);
  const { gate, permits } = parts;
  const scheduler = new TargetScheduler({ self: id, clock, directory, locality, gate, permits });
  return new PeerExchange({
    ...peers,
    id,
    incarnation: randomUUID(),
    failureDomain,
    region: locality.region,
    seeds: seeds.map(formatAddress),
    secret: settings.peerSecret,
    storeAddress: parts.storeAddress,
    clock,
    timers: systemTimers,
    random: systemRandom,
    log,
    readSyncState: () => ({
      revision: knowledge.revision,
      configuration: knowledge.routes?.version ?? 0,
      configurationBytes: knowledge.configurationBytes,
      isStoreAnswering: follower.isInTouch,
      hasStoreCallFailed: follower.isStoreAway,
    }),
    readStoreMarks: () => knowledge.readMarks(),
    onForeignPeer: parts.onStranger,
    onFault: parts.onFault,
    onMisdirected: parts.onMisdirected,
    readStoreUpdate: (since) => knowledge.readUpdate(since),
    readLoad: () => engineLoad.read(),
    onPeerLoad: (peer, load) => directory.takePeerLoad(peer, load),
    adviseTarget: (peer, question) => scheduler.advise(peer, question),
    onTargetLost: (target, loss) => directory.takePeerLoss(target, loss),
    readQuarantineState: () => parts.guard.listNews(),
    onQuarantineUpdate: (news, peer) => parts.guard.hear(news, peer),
    readLimits: () => parts.permits.listLimits(),
    onLimits: (facts, peer) => parts.permits.onPeerUpdate(peer, facts),
    readLeaving: () => parts.backpressure.listLeaving(),
    onLeaving: (facts, peer) => parts.backpressure.onPeerUpdate(peer, facts),
    onPermitMessage: (message, peer) => parts.permits.hear(peer, message),
    onPermitPeerLost: (peer) => parts.permits.onPeerLost(peer),
    lendRetries: (service, wanted) => retries.lend(service, wanted),
    onRetriesBorrowed: parts.onRepeats,
    onReport: parts.onReport,
    onStoreUpdate: (update, peer) => knowledge.takePeerUpdate(update, peer),
  });
}
