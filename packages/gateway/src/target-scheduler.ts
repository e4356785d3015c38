/**
 * Answers the VMs of a large fleet that ask where a stream should go. This VM is told
 * the load of all others, and counts what it advised until they tell of it.
 */
import { chooseServiceTarget } from '@limelead/choose-service-target';
import { choosePart, type PeerId, type TargetQuestion } from '@limelead/share-evidence';
import type { TargetDirectory } from '@limelead/track-service-targets';
import type { Clock } from '@limelead/types';

/** What a scheduler needs. */
export interface TargetSchedulerOptions {
  /** This VM. */
  self: PeerId;
  clock: Clock;
  directory: TargetDirectory;
}

/** Chooses targets for other VMs, and for this one. */
export default class TargetScheduler {
  constructor(private readonly options: TargetSchedulerOptions) {}

  /** The target with the least work; undefined where all are full or none is there. */
  advise(peer: PeerId, question: TargetQuestion): string | undefined {
    const { self, clock, directory } = this.options;
    const { service, number, part, parts } = question;
    const targets = directory
      .listUsable(service)
      .filter(({ target }) => parts <= 1 || choosePart(target.id, parts) === part);
    const chosen = chooseServiceTarget(targets, {
      ...question,
      exclude: new Set(question.exclude),
      limit: ({ target, peerRequests }) => target.slots - peerRequests,
      isDomainDoubtful: (domain) => directory.isDomainDoubtful(service, domain),
      now: clock.now(),
    });
    if (chosen !== undefined && peer !== self) {
      directory.noteAdvised({ peer, advice: number, target: chosen.target.id });
    }
    return chosen?.target.id;
  }
}
