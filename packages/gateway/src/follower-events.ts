/** What a gateway does with what its follower of the store tells it. */
import type { DecisionLog } from '@limelead/decision-log';
import { describeThrown } from '@limelead/errors';
import type { StoreFollowerEvents } from '@limelead/follow-store';
import type { Metrics } from '@limelead/metrics';
import type { PeerExchange } from '@limelead/share-evidence';
import type { Millis } from '@limelead/types';
import type Knowledge from './knowledge.js';

/** What the events need. */
export interface FollowerEventsOptions {
  log: DecisionLog;
  metrics: Metrics;
  knowledge: Knowledge;
  /** Undefined where this VM has no address for peers. */
  readExchange(): PeerExchange | undefined;
  /** Time since the store last confirmed what this VM knows, in milliseconds. */
  readKnowledgeAgeMs(): Millis;
}

/** Writes each event, and passes on what it means for knowledge and peers. */
export default function createFollowerEvents(options: FollowerEventsOptions): StoreFollowerEvents {
  const { log, metrics, knowledge, readExchange, readKnowledgeAgeMs } = options;
  const noteSkipped = (rows = 0): void => {
    if (rows > 0) {
      log.write('store-rows-skipped', { rows });
    }
  };
  return {
    onList(list) {
      noteSkipped(list.skipped);
      log.write('store-listed', { items: list.items.length, revision: list.revision });
      knowledge.takeList(list);
      readExchange()?.onStoreAnswered();
    },
    onChanges(changes) {
      noteSkipped(changes.skipped);
      knowledge.takeChanges(changes);
      readExchange()?.onStoreAnswered();
    },
    onBehind({ known, revision }) {
      log.write('store-behind', { known, revision });
      knowledge.forgetAll('store-behind', revision);
    },
    onLost(fault) {
      metrics.count('limelead_store_lost_total', 1, { fault });
      log.write('store-lost', { fault, knowledgeAgeMs: readKnowledgeAgeMs() });
      knowledge.noteStoreLost(readExchange()?.storeConfirmedAtMs);
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
      knowledge.noteStoreRegained();
    },
    onFollowing(isFollowing) {
      log.write('store-following', { isFollowing, vms: readExchange()?.totalVmCount });
    },
  };
}
