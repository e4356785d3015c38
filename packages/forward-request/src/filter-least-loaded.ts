import type { ServiceTargetCriteria } from '@limelead/choose-service-target';
import { isSuspected, type TrackedServiceTarget } from '@limelead/track-service-targets';

/** Targets with the fewest requests of all VMs, without excluded and suspected ones. */
export default function filterLeastLoaded(
  targets: TrackedServiceTarget[],
  { now, exclude }: ServiceTargetCriteria,
): TrackedServiceTarget[] {
  const up = targets.filter(
    ({ target, health }) => !exclude.has(target.id) && !isSuspected(health, now),
  );
  const requestsAt = (one: TrackedServiceTarget): number => one.inFlight + one.peerRequests;
  const fewest = Math.min(...up.map(requestsAt));
  return up.filter((one) => requestsAt(one) === fewest);
}
