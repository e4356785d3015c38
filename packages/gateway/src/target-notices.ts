/** Handles targets that join, leave or are gone. */
import type { DecisionLog } from '@limelead/decision-log';
import type { SlownessTracker } from '@limelead/forward-request';
import type { SendLimiter } from '@limelead/permit-sends';
import type { VersionRecord } from '@limelead/record-versions';
import type { TargetConnections } from '@limelead/target-connections';
import type { OriginTracker } from '@limelead/track-origins';
import type { TargetNotice } from '@limelead/track-service-targets';
import { softwareVersionOf } from '@limelead/types';
import type { QuarantineComponent } from './quarantine-component.js';

/** The parts that keep something of each target. */
export interface TargetNoticeParts {
  versionRecord: VersionRecord;
  origins: OriginTracker;
  quarantine: QuarantineComponent;
  permits: SendLimiter;
  connections: TargetConnections;
  slowness: SlownessTracker;
}

/** Creates the handler, which also logs each notice. */
export default function createTargetNoticeHandler(
  log: DecisionLog,
  { versionRecord, origins, quarantine, permits, connections, slowness }: TargetNoticeParts,
): (notice: TargetNotice) => void {
  return ({ kind, target }) => {
    log.write(`target-${kind}`, {
      target: target.id,
      service: target.service,
      failureDomain: target.failureDomain,
      isSpot: target.isSpot,
      leavesInMs: target.leavesInMs,
      version: target.version,
    });
    if (kind === 'joined') {
      versionRecord.onTargetJoined(target.service, softwareVersionOf(target));
      origins.onTargetJoined(target);
    }
    if (kind === 'gone') {
      versionRecord.onTargetGone(target.service);
      origins.onTargetGone(target);
      quarantine.onTargetGone(target);
      permits.forget(target.id);
    }
    if (kind !== 'joined') {
      connections.closeIdle(target.id);
      slowness.forget(target.id);
    }
  };
}
