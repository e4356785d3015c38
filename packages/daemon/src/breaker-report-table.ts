/**
 * Reports of peers about open breakers. One report alone opens no breaker: a VM
 * without a connection to the targets would otherwise block them for all VMs.
 */
import type { Millis, TargetId, VmId } from '@limelead/types';

const MAX_REPORT_AGE_MS = 5_000;
const MIN_REPORTING_PEERS = 2;

interface BreakerReport {
  peer: VmId;
  openUntilMs: Millis;
  receivedAtMs: Millis;
}

/** Keeps the recent reports of each target. */
export default class BreakerReportTable {
  private readonly reports = new Map<TargetId, BreakerReport[]>();

  /**
   * Records a peer's report. Returns the time until which the breaker should be
   * open, if two peers reported it, or one peer did and this VM saw a failure too.
   */
  recordReport(
    target: TargetId,
    report: BreakerReport,
    hasLocalFailure: boolean,
  ): Millis | undefined {
    const others = (this.reports.get(target) ?? []).filter(
      ({ peer, receivedAtMs }) =>
        peer !== report.peer && report.receivedAtMs - receivedAtMs <= MAX_REPORT_AGE_MS,
    );
    const reports = [...others, report];
    this.reports.set(target, reports);
    const minReports = hasLocalFailure ? 1 : MIN_REPORTING_PEERS;
    return reports.length >= minReports ? report.openUntilMs : undefined;
  }
}
