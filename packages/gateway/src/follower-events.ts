/** Handles the events of the gateway's store follower. */
import type { DecisionLog } from '@limelead/decision-log';
import { describeThrown } from '@limelead/errors';
import type { StoreFollowerEvents } from '@limelead/follow-store';
import type { Metrics } from '@limelead/metrics';
import type { PeerExchange } from '@limelead/share-evidence';
import type { Millis } from '@limelead/types';
import type StoreView from './store-view.js';

/** What the event handlers use. */
export interface FollowerEventsOptions {
  log: DecisionLog;
  metrics: Metrics;
  storeView: StoreView;
  /** Undefined if this VM has no peer address. */
  readExchange(): PeerExchange | undefined;
  /** Time since the store last confirmed this VM's view. */
  readStoreViewAgeMs(): Millis;
}

/** Creates handlers that log each event and update the store view and the exchange with peers. */
export default function createFollowerEvents(options: FollowerEventsOptions): StoreFollowerEvents {
  const { log, metrics, storeView, readExchange, readStoreViewAgeMs } = options;
  const logSkipped = (rows = 0): void => {
    if (rows > 0) {
      log.write('store-rows-skipped', { rows });
    }
  };
  return {
    onList(list) {
      logSkipped(list.skipped);
      log.write('store-listed', { items: list.items.length, revision: list.revision });
      storeView.applyList(list);
      readExchange()?.onStoreAnswered();
    },
    onChanges(changes) {
      logSkipped(changes.skipped);
      storeView.applyChanges(changes);
      readExchange()?.onStoreAnswered();
    },
    onRevisionDecreased({ known, revision }) {
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
    onProcessingFailed(thrown) {
      metrics.count('limelead_faults_total', 1, { boundary: 'store' });
      log.write('store-step-failed', { reason: describeThrown(thrown) });
    },
    onRegained({ awayMs, failures }) {
      log.write('store-regained', { awayMs: Math.round(awayMs), failures });
      storeView.onStoreRegained();
    },
    onFollowingChanged(isFollowing) {
      log.write('store-following', { isFollowing, vms: readExchange()?.totalVmCount });
    },
  };
}
