/** Connects the record of software versions to the store and the targets. */
import type { TargetGate } from '@limelead/forward-request';
import { VersionRecord } from '@limelead/record-versions';
import { VERSION_TTL_MS } from '@limelead/track-origins';
import type { TrackedServiceTarget } from '@limelead/track-service-targets';
import { softwareVersionOf, type ServiceTarget } from '@limelead/types';
import type { FleetComponentContext } from './fleet-component.js';
import { versionsKeyOf } from './store-keys.js';

const NO_SERVICES: ReadonlySet<string> = new Set();

/** Creates the record of one VM. */
export default function createVersionRecord(
  context: FleetComponentContext,
  countVms: () => number,
): VersionRecord {
  const { clock, timers, random, log, metrics, directory, settings, storeView } = context;
  const streamed = (): ReadonlySet<string> => storeView.routes?.streamedServices ?? NO_SERVICES;
  return new VersionRecord({
    ...{ clock, timers, random, log, metrics, countVms },
    store: context.platform.storeItems,
    keyOf: versionsKeyOf,
    listServices: () => [...streamed()],
    hasStreams: (service) => streamed().has(service),
    listPresent: (service) => listVersions(directory.listService(service)),
    listUsable: (service) => listVersions(directory.listUsable(service)),
    readView: (service) => storeView.readVersions(service),
    isViewFresh: () => context.readStoreViewAgeMs() <= settings.configurationWithinMs,
    ttlMs: VERSION_TTL_MS,
  });
}

function listVersions(targets: TrackedServiceTarget[]): string[] {
  return targets.map(({ target }) => softwareVersionOf(target));
}

/** Restricts a gate to targets at whose version streams may begin. */
export function restrictToRecorded(gate: TargetGate, record: VersionRecord): TargetGate {
  const canBegin = (target: ServiceTarget): boolean =>
    record.canBegin(target.service, softwareVersionOf(target));
  function filterRecorded<Items extends readonly { target: ServiceTarget }[]>(
    service: string,
    items: Items,
  ): Items | Items[number][] {
    const versions = new Set(items.map(({ target }) => softwareVersionOf(target)));
    return [...versions].every((version) => record.canBegin(service, version))
      ? items
      : items.filter(({ target }) => canBegin(target));
  }
  return {
    ...gate,
    groupByPreference: (service, targets, isRetry) =>
      gate.groupByPreference(service, filterRecorded(service, targets), isRetry),
    isAllowed: (target) => canBegin(target) && gate.isAllowed(target),
    listAdvisable: (service, targets) =>
      gate.listAdvisable(service, filterRecorded(service, targets)),
  };
}
