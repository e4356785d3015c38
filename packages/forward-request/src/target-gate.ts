/** Which targets may take a request now, where versions of a service are treated differently. */
import type { TrackedServiceTarget } from '@limelead/track-service-targets';
import type { ServiceTarget } from '@limelead/types';

/** Is asked on the path of requests, so it may not take long. */
export interface TargetGate {
  /**
   * Groups of a service's targets in the order in which they are tried; others may not
   * be taken. The very list where all may be.
   * @param isRepeat true where a target already failed the request
   */
  arrange(
    service: string,
    targets: readonly TrackedServiceTarget[],
    isRepeat: boolean,
  ): readonly (readonly TrackedServiceTarget[])[];
  /** Whether just this target may take a request now. */
  mayTake(target: ServiceTarget): boolean;
  /** Whether the next request should go where only this VM can tell, whatever others advise. */
  decidesAlone(service: string): boolean;
  /** Targets that may be advised to other VMs, and that may keep copies of runs. */
  listAdvisable(service: string, targets: TrackedServiceTarget[]): TrackedServiceTarget[];
  /** A request goes to that target now. */
  noteSent(target: ServiceTarget): void;
}

/** Lets every request through to every target. */
export const OPEN_GATE: TargetGate = {
  arrange: (_, targets) => [targets],
  mayTake: () => true,
  decidesAlone: () => false,
  listAdvisable: (_, targets) => targets,
  noteSent: () => undefined,
};
