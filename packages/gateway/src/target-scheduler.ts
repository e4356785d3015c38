/**
 * Chooses targets for the streams of other VMs in a large fleet. Knows the load of all VMs,
 * and counts its own advice as load until the advised VM reports it.
 */
import {
  chooseReplicaTarget,
  chooseServiceTarget,
  type ServiceTargetCriteria,
  type MemoryCriteria,
  REPLICA_DOMAIN_LOSS_WINDOW_MS,
} from '@limelead/choose-service-target';
import type { Locality } from '@limelead/locality';
import type { SendPermits, TargetGate } from '@limelead/forward-request';
import {
  choosePartition,
  type PeerId,
  type SchedulerAnswer,
  type SchedulerRequest,
} from '@limelead/share-evidence';
import {
  getPresentPace,
  type TargetDirectory,
  type TrackedServiceTarget,
} from '@limelead/track-service-targets';
import { runsSoftwareVersion, type Clock } from '@limelead/types';

/** Options of `TargetScheduler`. */
export interface TargetSchedulerOptions {
  /** This VM. */
  self: PeerId;
  clock: Clock;
  directory: TargetDirectory;
  locality: Locality;
  gate: TargetGate;
  permits: Pick<SendPermits, 'hasLimits' | 'canSend'>;
  /** Memory of one target of a service in tokens; 0 if unknown, as by default. */
  memoryTokensOf?: (service: string) => number;
  /** False if the present pace of targets does not count, only their slowness. Default: true. */
  placesByMemoryAndPace?: boolean;
}

/** Chooses targets for other VMs and for this one. */
export default class TargetScheduler {
  constructor(private readonly options: TargetSchedulerOptions) {}

  /** Returns the best target for a peer's request; undefined if none has a free slot. */
  advise(peer: PeerId, question: SchedulerRequest): SchedulerAnswer | undefined {
    const { self, clock, directory, locality } = this.options;
    const { service, number, part, parts } = question;
    const now = clock.now();
    const targets = this.listCandidates(service)
      .filter(({ target }) => runsSoftwareVersion(target, question.softwareVersion))
      .filter(({ target }) => parts <= 1 || choosePartition(target.id, parts) === part);
    const memory = this.createMemoryCriteria(question);
    const criteria: ServiceTargetCriteria = {
      ...question,
      memory,
      paceOf: this.paceOf,
      locality,
      exclude: new Set(question.exclude),
      limit: ({ target, peerRequests }) => target.slots - peerRequests,
      isDomainSuspected: (domain) => directory.isDomainSuspected(service, domain),
      now,
    };
    const chosen = chooseServiceTarget(targets, criteria);
    if (chosen === undefined) {
      const hasSlots =
        memory !== undefined &&
        chooseServiceTarget(targets, { ...criteria, memory: undefined }) !== undefined;
      return hasSlots ? { noRoom: true } : undefined;
    }
    const copyTo = this.chooseReplicaTarget(chosen, question, memory);
    const answer = { target: chosen.target.id, copyTo };
    if (memory !== undefined) {
      directory.tokens.recordRunTokens(service, memory.needTokens);
    }
    if (peer !== self) {
      const { tokens } = question;
      directory.recordAdvisedRequest({ peer, advice: number, ...answer, tokens });
    }
    return answer;
  }

  /** Undefined if the size of the run or of the targets is unknown. */
  private createMemoryCriteria({
    service,
    tokens = 0,
    isLastResort = false,
  }: SchedulerRequest): MemoryCriteria | undefined {
    const { directory, memoryTokensOf } = this.options;
    const capacityTokens = memoryTokensOf?.(service) ?? 0;
    if (capacityTokens <= 0 || tokens <= 0) {
      return undefined;
    }
    return {
      ...{ capacityTokens, needTokens: tokens, isLastResort },
      marginTokens: directory.tokens.usualRunTokens(service) || tokens,
      heldAt: ({ target }) => directory.tokens.at(target.id, target.service),
    };
  }

  private get paceOf(): ServiceTargetCriteria['paceOf'] {
    const { directory, placesByMemoryAndPace = true } = this.options;
    return placesByMemoryAndPace ? (tracked) => getPresentPace(directory, tracked) : undefined;
  }

  /** Leaves out rate-limited targets without permits: they look idle but can't be sent to. */
  private listCandidates(service: string): TrackedServiceTarget[] {
    const { permits } = this.options;
    const targets = this.listAdvisable(service);
    return permits.hasLimits
      ? targets.filter(({ target }) => permits.canSend(target.id, true))
      : targets;
  }

  /** Leaves out versions under trial, on which each VM decides itself. */
  private listAdvisable(service: string): TrackedServiceTarget[] {
    const { directory, gate } = this.options;
    return gate.listAdvisable(service, directory.listUsable(service));
  }

  /** The replica may be at a target of any part, since replica load is only an estimate. */
  private chooseReplicaTarget(
    running: TrackedServiceTarget,
    { service, affinityKey }: SchedulerRequest,
    memory: MemoryCriteria | undefined,
  ): string | undefined {
    const { clock, directory } = this.options;
    return chooseReplicaTarget(this.listAdvisable(service), {
      affinityKey,
      running,
      memory,
      paceOf: this.paceOf,
      isDomainSuspected: (domain) =>
        directory.isDomainSuspected(service, domain, REPLICA_DOMAIN_LOSS_WINDOW_MS),
      now: clock.now(),
    })?.target.id;
  }
}
