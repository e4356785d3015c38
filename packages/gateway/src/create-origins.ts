/** Connects the software versions that began streams to the targets, the store and the peers. */
import { OriginWriter } from '@limelead/store-origins';
import { OriginTracker, type VersionRecordReader } from '@limelead/track-origins';
import { backgroundTimers } from '@limelead/types';
import { randomBytes } from 'node:crypto';
import type { FleetComponentContext } from './fleet-component.js';
import { streamsKeyOf } from './store-keys.js';

/** Bytes of the id under which a VM writes streams; it is new at each start. */
const WRITER_ID_BYTES = 6;

/** Creates the tracker of one VM. */
export default function createOrigins(
  context: FleetComponentContext,
  recorded: VersionRecordReader,
): OriginTracker {
  const { clock, timers, log, metrics, directory, settings } = context;
  const { readExchange, readStoreViewAgeMs } = context;
  return new OriginTracker({
    ...{ clock, timers, log, metrics, recorded, store: createWriter(context) },
    listTargets: (service) => directory.listService(service).map(({ target }) => target),
    readAgeMs: readStoreViewAgeMs,
    maxAgeMs: () => settings.configurationWithinMs,
    isLinkedToMost: () => readExchange()?.isolatedSinceMs === undefined,
    publish: (origins) => readExchange()?.origins.publish(origins) ?? 0,
    ask(stream, receive) {
      const exchange = readExchange();
      if (exchange === undefined) {
        receive([]);
        return () => undefined;
      }
      return exchange.origins.ask(stream, receive);
    },
  });
}

/** A VM that stops goes on writing what is pending until its process ends. */
function createWriter({
  clock,
  random,
  log,
  metrics,
  platform,
  storeView,
  readExchange,
}: FleetComponentContext): OriginWriter {
  const id = randomBytes(WRITER_ID_BYTES).toString('base64url');
  return new OriginWriter({
    ...{ clock, timers: backgroundTimers, random, log, metrics },
    ...{ store: platform.storeItems, stored: storeView.storedOrigins },
    toKey: (segment) => streamsKeyOf(id, segment),
    isWriterOf: (streamId) => readExchange()?.origins.isWriterOf(streamId) ?? true,
    countWriters: () => readExchange()?.origins.countWriters() ?? 1,
    countVms: () => readExchange()?.totalVmCount ?? 1,
  });
}
