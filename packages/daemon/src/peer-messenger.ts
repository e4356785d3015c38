/** Sends messages to the peers of this VM and handles the messages that they send. */
import type { RecordedOutcome } from '@limelead/run-call';
import {
  createPeerLinks,
  peerMessageFormat,
  type PeerLinks,
  type PeerMessage,
  type PeerMessageOf,
} from '@limelead/peer-links';
import { splitIntoParts } from '@limelead/store-configuration';
import { chooseLinks } from '@limelead/track-members';
import type { Change, TargetId, VmId } from '@limelead/types';
import BreakerReportTable from './breaker-report-table.js';
import type { ConfigurationSource } from './configuration-holder.js';
import startLoop, { type Loop } from './loop.js';
import PendingQueries from './pending-queries.js';
import SnapshotAssembler from './snapshot-assembler.js';
import type { VmContext } from './vm-context.js';

/** Size of one part of a snapshot, below the limit on the size of a message. */
const MAX_SNAPSHOT_PART_CHARACTERS = 300_000;
const CALL_QUERY_TIMEOUT_MS = 10_000;
const CANCEL_QUERY_TIMEOUT_MS = 1_000;
/** A peer's list of VMs is requested only if it is newer by more than this. */
const MIN_LIST_ADVANTAGE_MS = 200;

type DemandReports = PeerMessageOf<'heartbeat'>['demand'];

/** Exchanges heartbeats, configuration, breaker reports and queries with all peers. */
export default class PeerMessenger {
  private readonly breakerReports = new BreakerReportTable();
  private readonly snapshotAssembler = new SnapshotAssembler();
  private readonly demandsByPeer = new Map<VmId, DemandReports>();
  private readonly callQueries: PendingQueries<RecordedOutcome>;
  private readonly cancelQueries: PendingQueries<boolean>;
  private links: PeerLinks<PeerMessage> | undefined;
  private loop: Loop | undefined;
  private isLeaving = false;

  constructor(private readonly context: VmContext) {
    const { timers } = context;
    this.callQueries = new PendingQueries<RecordedOutcome>(timers, CALL_QUERY_TIMEOUT_MS, {
      kind: 'unknown',
    });
    this.cancelQueries = new PendingQueries(timers, CANCEL_QUERY_TIMEOUT_MS, false);
  }

  /** Port that accepts connections of peers. */
  get port(): number {
    return this.links?.port ?? 0;
  }

  /** Starts to accept connections of peers and to send heartbeats. */
  async start(): Promise<void> {
    const { settings, incarnation, timers, metrics, configuration } = this.context;
    this.links = await createPeerLinks({
      id: settings.id,
      incarnation,
      secret: settings.peers.secret,
      host: settings.peers.host,
      port: settings.peers.port,
      timers,
      format: peerMessageFormat,
      onReady: (peer) => this.onReady(peer),
      onMessage: (peer, message) => this.onMessage(peer, message),
      onLinkLost: (peer) => this.onLost(peer),
      onMessageDropped: () => metrics.count('limelead_peer_messages_dropped_total'),
    });
    configuration.onAdvance((_, source) => this.publishConfiguration(source));
    const { heartbeatMs } = settings.timing;
    this.loop = startLoop(this.context, heartbeatMs, () => this.sendHeartbeat());
  }

  /** Announces to peers that this VM is leaving. */
  announceLeaving(): void {
    this.isLeaving = true;
    this.links?.broadcast(this.createHeartbeat());
  }

  /** Reports to peers that this VM opened the breaker of a target. */
  publishOpenBreaker(target: TargetId): void {
    const { targets, clock } = this.context;
    const openUntilMs = targets.find(target)?.breaker.openUntilMs ?? 0;
    const openForMs = openUntilMs - clock.now();
    if (openForMs > 0) {
      this.links?.broadcast({ kind: 'breaker', target, openForMs });
    }
  }

  /** Returns the demand of an organisation that each linked peer reported last. */
  listPeerDemands(organisation: string): { vm: VmId; requestsPerSecond: number }[] {
    return [...this.demandsByPeer].map(([vm, reports]) => {
      const report = reports.find((candidate) => candidate.organisation === organisation);
      return { vm, requestsPerSecond: report?.requestsPerSecond ?? 0 };
    });
  }

  /** Queries the VM that holds the claim of a call for the call's outcome. */
  queryClaimHolder(
    holder: string,
    organisation: string,
    requestId: string,
  ): Promise<RecordedOutcome> {
    const peer = this.context.members.findByIncarnation(holder)?.id;
    if (peer === undefined || this.links?.listLinked().includes(peer) !== true) {
      return Promise.resolve({ kind: 'unknown' });
    }
    return this.callQueries.sendQuery((query) =>
      this.links?.send(peer, { kind: 'call-query', query, organisation, requestId }),
    );
  }

  /** Asks linked peers to cancel a generation; returns whether one of them had it. */
  async cancelOnPeers(organisation: string, requestId: string): Promise<boolean> {
    const peers = this.links?.listLinked() ?? [];
    const answers = peers.map((peer) =>
      this.cancelQueries.sendQuery((query) =>
        this.links?.send(peer, { kind: 'cancel-query', query, organisation, requestId }),
      ),
    );
    return (await Promise.all(answers)).some((cancelled) => cancelled);
  }

  /** Stops the heartbeats and closes all links. */
  async stop(): Promise<void> {
    this.loop?.stop();
    await this.links?.close();
  }

  private async sendHeartbeat(): Promise<void> {
    const { members, clock, settings } = this.context;
    this.links?.broadcast(this.createHeartbeat());
    const present = members.list().filter(({ leaving, port }) => !leaving && port > 0);
    const chosen = chooseLinks(
      settings.id,
      present.map(({ id }) => id),
    );
    this.links?.open(present.filter(({ id }) => chosen.includes(id)));
    for (const peer of this.links?.listLinked() ?? []) {
      const member = members.find(peer);
      if (member !== undefined && members.stateOf(member, clock.now()) === 'suspect') {
        this.links?.disconnect(peer);
      }
    }
  }

  private createHeartbeat(): PeerMessageOf<'heartbeat'> {
    const { settings, incarnation, configuration, targets, admission, clock } = this.context;
    const { list, readAtMs } = targets.list();
    const now = clock.now();
    return {
      kind: 'heartbeat',
      id: settings.id,
      host: settings.peers.host,
      port: this.port,
      failureDomain: settings.failureDomain,
      incarnation,
      revision: configuration.configuration.revision,
      leaving: this.isLeaving,
      listVersion: list.version,
      listAgeMs: Number.isFinite(readAtMs) ? now - readAtMs : Number.MAX_SAFE_INTEGER,
      demand: admission.listDemands(now),
    };
  }

  private onReady(peer: VmId): void {
    this.publishMembershipChange(peer, 'linked');
    this.links?.send(peer, this.createHeartbeat());
  }

  private onLost(peer: VmId): void {
    this.context.members.onLinkLost(peer);
    this.demandsByPeer.delete(peer);
    this.snapshotAssembler.discard(peer);
    this.publishMembershipChange(peer, 'lost');
  }

  private publishMembershipChange(subject: VmId, state: string): void {
    const { bus, logger, metrics } = this.context;
    metrics.count('limelead_peer_links_total', 1, { state });
    logger.info('a peer changed', { peer: subject, state });
    bus.publish('', () => ({ kind: 'membershipChanged', subject, state }));
  }

  private onMessage(peer: VmId, message: PeerMessage): void {
    this.context.metrics.count('limelead_peer_messages_total', 1, { kind: message.kind });
    switch (message.kind) {
      case 'heartbeat':
        return this.onHeartbeat(peer, message);
      case 'changes':
        return this.onChanges(peer, message.changes);
      case 'want-changes':
        return this.sendConfiguration(peer, message.after);
      case 'snapshot':
        return this.onSnapshot(peer, message);
      case 'want-list':
        return this.sendList(peer);
      case 'list':
        return this.onList(message);
      case 'breaker':
        return this.onBreaker(peer, message);
      case 'call-query':
        return void this.onCallQuery(peer, message);
      case 'cancel-query':
        return this.onCancelQuery(peer, message);
      case 'cancel-reply':
        return this.cancelQueries.settle(message.query, message.cancelled);
      case 'call-reply':
        return this.callQueries.settle(message.query, message.outcome as RecordedOutcome);
    }
  }

  private onHeartbeat(peer: VmId, heartbeat: PeerMessageOf<'heartbeat'>): void {
    const { members, configuration, targets, clock } = this.context;
    const now = clock.now();
    const { kind: _, listVersion, listAgeMs, demand, ...member } = heartbeat;
    members.applyHeartbeat({ ...member, id: peer }, now);
    this.demandsByPeer.set(peer, demand);
    const { revision } = configuration.configuration;
    if (heartbeat.revision > revision) {
      this.links?.send(peer, { kind: 'want-changes', after: revision });
    }
    const own = targets.list();
    const peerReadAtMs = now - listAgeMs;
    if (listVersion === own.list.version) {
      targets.applyList(own.list, peerReadAtMs);
    } else if (
      listVersion > own.list.version &&
      peerReadAtMs > own.readAtMs + MIN_LIST_ADVANTAGE_MS
    ) {
      this.links?.send(peer, { kind: 'want-list' });
    }
  }

  private onChanges(peer: VmId, changes: Change[]): void {
    const { configuration } = this.context;
    const before = configuration.configuration.revision;
    const hasAdvanced = configuration.adoptChanges(changes, 'peer');
    const last = changes.at(-1)?.revision ?? 0;
    if (!hasAdvanced && last > before) {
      this.links?.send(peer, { kind: 'want-changes', after: before });
    }
  }

  private onSnapshot(peer: VmId, message: PeerMessageOf<'snapshot'>): void {
    const snapshot = this.snapshotAssembler.addPart(peer, message);
    if (snapshot !== undefined) {
      this.context.configuration.adopt(snapshot, [], 'peer');
    }
  }

  /** Sends the latest change to every linked peer; a peer forwards only changes new to it. */
  private publishConfiguration(source: ConfigurationSource): void {
    const { configuration, bus, metrics, logger } = this.context;
    const { revision } = configuration.configuration;
    metrics.count('limelead_configuration_advances_total', 1, { source });
    logger.info('the configuration advanced', { revision, source });
    bus.publish('', () => ({ kind: 'configurationAdvanced', revision, source }));
    const latest = configuration.latestChanges.at(-1);
    if (latest !== undefined) {
      this.links?.broadcast({ kind: 'changes', changes: [latest] });
    }
  }

  private sendConfiguration(peer: VmId, after: number): void {
    const { configuration } = this.context;
    const changes = configuration.changesAfter(after);
    if (changes !== undefined) {
      this.links?.send(peer, { kind: 'changes', changes });
      return;
    }
    const { revision } = configuration.configuration;
    const parts = splitIntoParts(configuration.configuration, MAX_SNAPSHOT_PART_CHARACTERS);
    parts.forEach((content, part) =>
      this.links?.send(peer, {
        kind: 'snapshot',
        revision,
        part,
        parts: parts.length,
        ...content,
      }),
    );
  }

  private sendList(peer: VmId): void {
    const { targets, clock } = this.context;
    const { list, readAtMs } = targets.list();
    this.links?.send(peer, { kind: 'list', list, ageMs: clock.now() - readAtMs });
  }

  private onList({ list, ageMs }: PeerMessageOf<'list'>): void {
    const { targets, members, clock } = this.context;
    const now = clock.now();
    targets.applyList(list, now - ageMs);
    members.applyVmList(list, now);
  }

  private onBreaker(peer: VmId, { target, openForMs }: PeerMessageOf<'breaker'>): void {
    const { targets, clock, bus } = this.context;
    const receivedAtMs = clock.now();
    const hasLocalFailure = (targets.find(target)?.breaker.failureCount ?? 0) > 0;
    const report = { peer, openUntilMs: receivedAtMs + openForMs, receivedAtMs };
    const openUntilMs = this.breakerReports.recordReport(target, report, hasLocalFailure);
    if (openUntilMs !== undefined && targets.adoptOpenBreaker(target, openUntilMs)) {
      bus.publish('', () => ({ kind: 'breakerChanged', target, state: 'open', source: peer }));
    }
  }

  private async onCallQuery(peer: VmId, query: PeerMessageOf<'call-query'>): Promise<void> {
    const { callRunner } = this.context;
    const recalled = callRunner.findOutcome(query.organisation, query.requestId);
    const outcome: RecordedOutcome = (await recalled) ?? { kind: 'unknown' };
    this.links?.send(peer, { kind: 'call-reply', query: query.query, outcome });
  }

  private onCancelQuery(peer: VmId, message: PeerMessageOf<'cancel-query'>): void {
    const { query, organisation, requestId } = message;
    const cancelled = this.context.openGenerations.cancel(organisation, requestId);
    this.links?.send(peer, { kind: 'cancel-reply', query, cancelled });
  }
}
