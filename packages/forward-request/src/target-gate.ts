/** Restricts the targets of a service by version during a roll-out. */
import type { TrackedServiceTarget } from '@limelead/track-service-targets';
import type { ServiceTarget } from '@limelead/types';

/** Decides which targets may receive requests. Called for each request, so it must be fast. */
export interface TargetGate {
  /**
   * Groups the targets of a service in the order in which to try them, without the targets
   * that are not allowed. If all are allowed alike, the only group is the given array itself.
   * @param isRetry true if a target already failed the request
   */
  groupByPreference(
    service: string,
    targets: readonly TrackedServiceTarget[],
    isRetry: boolean,
  ): readonly (readonly TrackedServiceTarget[])[];
  /** Whether the target may receive a request now. */
  isAllowed(target: ServiceTarget): boolean;
  /** Whether the next request for the service must be placed without advice of the scheduler. */
  ignoresAdvice(service: string): boolean;
  /** Filters the targets that may be advised to other VMs or hold replicas. */
  listAdvisable(service: string, targets: TrackedServiceTarget[]): TrackedServiceTarget[];
  /** Records a request that is sent to the target now. */
  recordSend(target: ServiceTarget): void;
}

/** Allows every request to every target. */
export const OPEN_GATE: TargetGate = {
  groupByPreference: (_, targets) => [targets],
  isAllowed: () => true,
  ignoresAdvice: () => false,
  listAdvisable: (_, targets) => targets,
  recordSend: () => undefined,
};
