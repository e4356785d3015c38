/** What a gateway does with what its follower of the store tells it. */
import type { DecisionLog } from '@limelead/decision-log';
import { describeThrown } from '@limelead/errors';
import type { StoreFollowerEvents } from '@limelead/follow-store';
import type { Metrics } from '@limelead/metrics';
import type { EvidenceExchange } from '@limelead/share-evidence';
import type { Millis } from '@limelead/types';
import type StoreView from './store-view.js';

/** What the events need. */
export interface FollowerEventsOptions {
  log: DecisionLog;
  metrics: Metrics;
  storeView: StoreView;
  /** Undefined where this VM has no address for peers. */
  readExchange(): EvidenceExchange | undefined;
  /** Time since the store last confirmed what this VM knows, in milliseconds. */
  readStoreViewAgeMs(): Millis;
}

/** Writes each event, and passes on what it means for knowledge and peers. */
export default function createFollowerEvents(options: FollowerEventsOptions): StoreFollowerEvents {
  const { log, metrics, storeView, readExchange, readStoreViewAgeMs } = options;
  const noteSkipped = (rows = 0): void => {
    if (rows > 0) {
      log.write('store-rows-skipped', { rows });
    }
  };
  return {
    onList(list) {
      noteSkipped(list.skipped);
      log.write('store-listed', { items: list.items.length, revision: list.revision });
      storeView.applyList(list);
      readExchange()?.noteStoreAnswered();
    },
    onChanges(changes) {
      noteSkipped(changes.skipped);
      storeView.applyChanges(changes);
      readExchange()?.noteStoreAnswered();
    },
    onBehind({ known, revision }) {
      log.write('store-behind', { known, revision });
      storeView.reset('store-behind', revision);
    },
    onLost(fault) {
      metrics.count('limelead_store_lost_total', 1, { fault });
      log.write('store-lost', { fault, knowledgeAgeMs: readStoreViewAgeMs() });
      storeView.onStoreLost(readExchange()?.storeConfirmedAtMs);
    },
    onCallFailed({ afterMs, pauseMs, ...failure }) {
      log.write('store-call-failed', {
        ...failure,
        afterMs: Math.round(afterMs),
        pauseMs: Math.round(pauseMs),
      });
    },
    onStepFailed(thrown) {
      metrics.count('limelead_faults_total', 1, { boundary: 'store' });
      log.write('store-step-failed', { reason: describeThrown(thrown) });
    },
    onRegained({ awayMs, failures }) {
      log.write('store-regained', { awayMs: Math.round(awayMs), failures });
      storeView.onStoreRegained();
    },
    onFollowing(isFollowing) {
      log.write('store-following', { isFollowing, vms: readExchange()?.vmCount });
    },
  };
}
