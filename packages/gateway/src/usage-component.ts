/** Counts usage, sends it to the duty candidates, and reports it to the platform as duty holder. */
import { TimeEstimator } from '@limelead/estimate-time';
import {
  UsageTable,
  UsageCounter,
  UsageRecord,
  UsageReporter,
  UsagePublisher,
  type SettledWindow,
  type UsageEvents,
  type UsageSubscriber,
  type WindowCounts,
} from '@limelead/meter-usage';
import type { DutyPlatform } from '@limelead/ports';
import type { PeerExchange, PeerId } from '@limelead/share-evidence';
import { randomUUID } from 'node:crypto';
import type { DutyComponent } from './duty-component.js';
import type { FleetComponent, FleetComponentContext } from './fleet-component.js';
import { DUTY_KEY, USAGE_KEY } from './store-keys.js';
import type { DutySettings } from './settings.js';

/** Interval at which counts are sent and reported; a crashed VM loses at most the counts of one. */
const REPORT_INTERVAL_MS = 300;
/**
 * Interval at which the time of day is sent to peers. A VM with a wrong clock counts into wrong
 * windows until it receives theirs.
 */
const TIME_OF_DAY_INTERVAL_MS = 2_000;
/**
 * Longest delay between the end of a window and its settlement. Within it all counts arrive,
 * also those of VMs that were isolated for a short time.
 */
const MAX_SETTLE_DELAY_MS = 2_500;
/** Fraction of the reporting deadline that may pass before settlement; the rest is for retries. */
const SETTLE_DELAY_FRACTION = 0.3;

/** What the component needs besides its context. */
export interface UsageComponentOptions {
  duties: DutySettings;
  dutyComponent: DutyComponent;
  dutyPlatform: DutyPlatform;
}

/** Creates the component that counts and reports usage. */
export default function createUsageComponent(
  context: FleetComponentContext,
  { duties, dutyComponent, dutyPlatform }: UsageComponentOptions,
): FleetComponent {
  const { clock, timers, platform, readExchange } = context;
  const { usageWindowMs: windowMs, usageDueMs } = duties;
  const incarnation = randomUUID();
  const trueTime = new TimeEstimator({ clock, originMs: performance.timeOrigin });
  const startedAtMs = clock.now();
  const counter = new UsageCounter({
    trueTime,
    windowMs,
    onCounted: (window, organisation) => teller.recordChange(window, organisation),
  });
  const teller = new UsagePublisher(counter);
  const usageTable = new UsageTable({ trueTime, windowMs });
  const reporter = new UsageReporter({
    duty: dutyComponent.duty,
    platform: dutyPlatform,
    record: new UsageRecord(platform.storeItems, USAGE_KEY, DUTY_KEY),
    clock,
    trueTime,
    windowMs,
    settleAfterMs: Math.min(MAX_SETTLE_DELAY_MS, usageDueMs * SETTLE_DELAY_FRACTION),
    sum(window) {
      usageTable.recordCounts(incarnation, counter.listWindows(), firstOwnWindow());
      return usageTable.sum(window);
    },
    isIsolated: (heldSinceMs) => heldSinceMs < (readExchange()?.isolatedSinceMs ?? -Infinity),
    readCountedFrom() {
      return Math.min(firstOwnWindow(), usageTable.countedFrom ?? Infinity);
    },
    onPlatformUnreachable: () => dutyComponent.yieldDuty(),
    events: createEvents(context, (window) => usageTable.countReportingVms(window)),
  });

  function firstOwnWindow(): number {
    const ageMs = clock.now() - startedAtMs;
    return Math.floor((trueTime.now() - ageMs) / windowMs) + 1;
  }

  function sendUsage(): void {
    const exchange = readExchange();
    const countedFrom = firstOwnWindow();
    teller.publish(
      listReceivers(exchange, (peer, windows) =>
        exchange?.sendReport(peer, { kind: 'usage', incarnation, countedFrom, windows }),
      ),
    );
  }

  function runRound(): void {
    sendUsage();
    void reporter.reportDue();
    timers.after(REPORT_INTERVAL_MS, runRound);
  }

  function sendTimeOfDay(): void {
    readExchange()?.sendReportToGossipPeers({
      kind: 'time-of-day',
      incarnation,
      timeMs: trueTime.ownTimeMs,
    });
    timers.after(TIME_OF_DAY_INTERVAL_MS, sendTimeOfDay);
  }

  return {
    observer: {
      onRunStarted: ({ organisation }) => {
        if (organisation !== undefined) {
          counter.count(organisation);
        }
      },
    },
    onReport(peer, report) {
      if (report.kind === 'usage') {
        usageTable.recordCounts(report.incarnation, report.windows, report.countedFrom);
      } else if (report.kind === 'time-of-day') {
        trueTime.recordPeerTime(peer, report.incarnation, report.timeMs);
      }
    },
    start() {
      runRound();
      timers.after(REPORT_INTERVAL_MS, sendTimeOfDay);
    },
    handOver() {
      sendUsage();
      return Promise.resolve();
    },
    // Counts since the last round would be lost with the process.
    onDrained: sendUsage,
  };
}

/** The linked duty candidates as receivers of usage. */
function listReceivers(
  exchange: PeerExchange | undefined,
  send: (peer: PeerId, windows: WindowCounts[]) => void,
): UsageSubscriber[] {
  return (exchange?.linkedDutyCandidates ?? []).map(({ peer, linkedAtMs }) => ({
    link: `${peer} ${linkedAtMs}`,
    send: (windows) => send(peer, windows),
  }));
}

function createEvents(
  { log, metrics }: FleetComponentContext,
  countReporters: (window: number) => number,
): UsageEvents {
  const countWindows = (outcome: string, windows = 1): void =>
    metrics.count('limelead_usage_windows_total', windows, { outcome });
  return {
    onSettled: (settled, token) =>
      log.write('usage-settled', {
        ...summarize(settled),
        token,
        tellers: countReporters(settled.window),
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
