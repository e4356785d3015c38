/** The part that counts usage, tells it to those that stand for the duties, and reports it. */
import { TimeEstimate } from '@limelead/estimate-time';
import {
  UsageBook,
  UsageCounter,
  UsageRecord,
  UsageReporter,
  UsageTeller,
  type SettledWindow,
  type UsageEvents,
  type UsageListener,
  type WindowCounts,
} from '@limelead/meter-usage';
import type { DutyPlatform } from '@limelead/ports';
import type { PeerExchange, PeerId } from '@limelead/share-evidence';
import { randomUUID } from 'node:crypto';
import type { DutyPart } from './duty-part.js';
import type { FleetPart, FleetPartContext } from './fleet-part.js';
import { DUTY_KEY, USAGE_KEY } from './own-keys.js';
import type { DutySettings } from './settings.js';

/**
 * Time between two looks at what is to be told or reported, in milliseconds. A VM that loses
 * power takes so much of its counts with it at most.
 */
const LOOK_EVERY_MS = 300;
/**
 * Time between two words on the time of day, in milliseconds. A VM that starts with a wrong
 * clock counts into wrong windows until it heard others.
 */
const TIME_EVERY_MS = 2_000;
/**
 * Time from the end of a window until its counts are settled, in milliseconds: what VMs tell
 * has come, and those that were cut off for a moment are back.
 */
const SETTLE_AFTER_MS = 2_500;
/** Part of the time until usage is due that may go into waiting; the rest is for what fails. */
const SETTLE_SHARE = 0.3;

/** What the part needs beside the context. */
export interface UsagePartOptions {
  duties: DutySettings;
  dutyPart: DutyPart;
  dutyPlatform: DutyPlatform;
}

/** Creates the part. */
export default function createUsagePart(
  context: FleetPartContext,
  { duties, dutyPart, dutyPlatform }: UsagePartOptions,
): FleetPart {
  const { clock, timers, platform, readExchange } = context;
  const { usageWindowMs: windowMs, usageDueMs } = duties;
  const incarnation = randomUUID();
  const trueTime = new TimeEstimate({ clock, originMs: performance.timeOrigin });
  const startedAtMs = clock.now();
  const counter = new UsageCounter({
    trueTime,
    windowMs,
    onCounted: (window, organisation) => teller.note(window, organisation),
  });
  const teller = new UsageTeller(counter);
  const book = new UsageBook({ trueTime, windowMs });
  const reporter = new UsageReporter({
    duty: dutyPart.duty,
    platform: dutyPlatform,
    record: new UsageRecord(platform.storeItems, USAGE_KEY, DUTY_KEY),
    clock,
    trueTime,
    windowMs,
    settleAfterMs: Math.min(SETTLE_AFTER_MS, usageDueMs * SETTLE_SHARE),
    sum(window) {
      book.hear(incarnation, counter.list(), readOwnFirst());
      return book.sum(window);
    },
    isCutOff: (heldSinceMs) => heldSinceMs < (readExchange()?.isolatedSinceMs ?? -Infinity),
    readCountedFrom() {
      return Math.min(readOwnFirst(), book.countedFrom ?? Infinity);
    },
    onUnreached: () => dutyPart.stepAside(),
    events: createEvents(context, (window) => book.countTellers(window)),
  });

  function readOwnFirst(): number {
    const ageMs = clock.now() - startedAtMs;
    return Math.floor((trueTime.now() - ageMs) / windowMs) + 1;
  }

  function tell(): void {
    const exchange = readExchange();
    const countedFrom = readOwnFirst();
    teller.tell(
      listListeners(exchange, (peer, windows) =>
        exchange?.reportTo(peer, { kind: 'usage', incarnation, countedFrom, windows }),
      ),
    );
  }

  function look(): void {
    tell();
    void reporter.look();
    timers.after(LOOK_EVERY_MS, look);
  }

  function tellTime(): void {
    readExchange()?.reportToPeers({ kind: 'time-of-day', incarnation, timeMs: trueTime.ownTimeMs });
    timers.after(TIME_EVERY_MS, tellTime);
  }

  return {
    observer: {
      onBegun: ({ organisation }) => {
        if (organisation !== undefined) {
          counter.count(organisation);
        }
      },
    },
    onReport(peer, report) {
      if (report.kind === 'usage') {
        book.hear(report.incarnation, report.windows, report.countedFrom);
      } else if (report.kind === 'time-of-day') {
        trueTime.hear(peer, report.incarnation, report.timeMs);
      }
    },
    start() {
      look();
      timers.after(LOOK_EVERY_MS, tellTime);
    },
    handOver() {
      tell();
      return Promise.resolve();
    },
    // What was counted since the last look would go with the process.
    leave: tell,
  };
}

/** Those that stand for the duties, each with the link to it. */
function listListeners(
  exchange: PeerExchange | undefined,
  tell: (peer: PeerId, windows: WindowCounts[]) => void,
): UsageListener[] {
  return (exchange?.linkedCandidates ?? []).map(({ peer, linkedAtMs }) => ({
    link: `${peer} ${linkedAtMs}`,
    tell: (windows) => tell(peer, windows),
  }));
}

function createEvents(
  { log, metrics }: FleetPartContext,
  countTellers: (window: number) => number,
): UsageEvents {
  const countWindows = (outcome: string, windows = 1): void =>
    metrics.count('limelead_usage_windows_total', windows, { outcome });
  return {
    onSettled: (settled, token) =>
      log.write('usage-settled', {
        ...summarize(settled),
        token,
        tellers: countTellers(settled.window),
      }),
    onReported(settled, token, afterMs) {
      countWindows('reported');
      log.write('usage-reported', { ...summarize(settled), token, afterMs: Math.round(afterMs) });
    },
    onSkipped({ from, to, reason }) {
      countWindows('skipped', to - from + 1);
      log.write('usage-skipped', { from, to, reason });
    },
    onUnreadable: (revision, leftOutUpTo) =>
      log.write('usage-item-unreadable', { revision, leftOutUpTo }),
    onGivenUp(window) {
      countWindows('given-up');
      log.write('usage-given-up', { window });
    },
    onCallFailed: (call, window, why) => log.write('usage-call-failed', { call, window, why }),
  };
}

function summarize({ window, counts }: SettledWindow): Record<string, number> {
  const requests = counts.reduce((sum, [, count]) => sum + count, 0);
  return { window, organisations: counts.length, requests };
}
