/**
 * Chooses targets for the streams of other VMs in a large fleet. Knows the load of all VMs,
 * and counts its own advice as load until the advised VM reports it.
 */
import {
  chooseReplicaTarget,
  chooseServiceTarget,
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
import type { TargetDirectory, TrackedServiceTarget } from '@limelead/track-service-targets';
import type { Clock } from '@limelead/types';

/** Options of `TargetScheduler`. */
export interface TargetSchedulerOptions {
  /** This VM. */
  self: PeerId;
  clock: Clock;
  directory: TargetDirectory;
  locality: Locality;
  gate: TargetGate;
  permits: Pick<SendPermits, 'hasLimits' | 'canSend'>;
}

/** Chooses targets for other VMs and for this one. */
export default class TargetScheduler {
  constructor(private readonly options: TargetSchedulerOptions) {}

  /** Returns the best target for a peer's request; undefined if none has a free slot. */
  advise(peer: PeerId, question: SchedulerRequest): SchedulerAnswer | undefined {
    const { self, clock, directory, locality } = this.options;
    const { service, number, part, parts } = question;
    const now = clock.now();
    const targets = this.listCandidates(service).filter(
      ({ target }) => parts <= 1 || choosePartition(target.id, parts) === part,
    );
    const chosen = chooseServiceTarget(targets, {
      ...question,
      locality,
      exclude: new Set(question.exclude),
      limit: ({ target, peerRequests }) => target.slots - peerRequests,
      isDomainSuspected: (domain) => directory.isDomainSuspected(service, domain),
      now,
    });
    if (chosen === undefined) {
      return undefined;
    }
    const answer = { target: chosen.target.id, copyTo: this.chooseReplicaTarget(chosen, question) };
    if (peer !== self) {
      directory.recordAdvisedRequest({ peer, advice: number, ...answer });
    }
    return answer;
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
  ): string | undefined {
    const { clock, directory } = this.options;
    return chooseReplicaTarget(this.listAdvisable(service), {
      affinityKey,
      running,
      isDomainSuspected: (domain) =>
        directory.isDomainSuspected(service, domain, REPLICA_DOMAIN_LOSS_WINDOW_MS),
      now: clock.now(),
    })?.target.id;
  }
}
