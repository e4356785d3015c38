/**
 * Answers the VMs of a large fleet that ask where a stream should go. This VM is told
 * the load of all others, and counts what it advised until they tell of it.
 */
import {
  chooseCopyKeeper,
  chooseServiceTarget,
  KEEPER_DOUBT_MS,
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

/** What a scheduler needs. */
export interface TargetSchedulerOptions {
  /** This VM. */
  self: PeerId;
  clock: Clock;
  directory: TargetDirectory;
  locality: Locality;
  gate: TargetGate;
  permits: Pick<SendPermits, 'isLimiting' | 'maySend'>;
}

/** Chooses targets for other VMs, and for this one. */
export default class TargetScheduler {
  constructor(private readonly options: TargetSchedulerOptions) {}

  /** The target with the least work; undefined where all are full or none is there. */
  advise(peer: PeerId, question: SchedulerRequest): SchedulerAnswer | undefined {
    const { self, clock, directory, locality } = this.options;
    const { service, number, part, parts } = question;
    const now = clock.now();
    const targets = this.listOpen(service).filter(
      ({ target }) => parts <= 1 || choosePartition(target.id, parts) === part,
    );
    const chosen = chooseServiceTarget(targets, {
      ...question,
      locality,
      exclude: new Set(question.exclude),
      limit: ({ target, peerRequests }) => target.slots - peerRequests,
      isDomainDoubtful: (domain) => directory.isDomainDoubtful(service, domain),
      now,
    });
    if (chosen === undefined) {
      return undefined;
    }
    const answer = { target: chosen.target.id, copyTo: this.chooseCopyTo(chosen, question) };
    if (peer !== self) {
      directory.noteAdvised({ peer, advice: number, ...answer });
    }
    return answer;
  }

  /** A target that names a limit looks idle, and the VM that asks has no permit for it. */
  private listOpen(service: string): TrackedServiceTarget[] {
    const { permits } = this.options;
    const targets = this.listAdvisable(service);
    return permits.isLimiting
      ? targets.filter(({ target }) => permits.maySend(target.id, true))
      : targets;
  }

  /** Versions under trial are each VM's own matter. */
  private listAdvisable(service: string): TrackedServiceTarget[] {
    const { directory, gate } = this.options;
    return gate.listAdvisable(service, directory.listUsable(service));
  }

  /** Any part of the targets may keep the copy: what is known of their load is soft anyway. */
  private chooseCopyTo(
    running: TrackedServiceTarget,
    { service, affinityKey }: SchedulerRequest,
  ): string | undefined {
    const { clock, directory } = this.options;
    return chooseCopyKeeper(this.listAdvisable(service), {
      affinityKey,
      running,
      isDomainDoubtful: (domain) => directory.isDomainDoubtful(service, domain, KEEPER_DOUBT_MS),
      now: clock.now(),
    })?.target.id;
  }
}
