/**
 * What peers said of targets' breakers. One VM's word is not enough: a VM that
 * is cut off from the targets would otherwise close them for everybody.
 */
import type { Millis, TargetId, VmId } from '@limelead/types';

const MAX_REPORT_AGE_MS = 5_000;
const MIN_REPORTING_PEERS = 2;

interface BreakerReport {
  peer: VmId;
  openUntilMs: Millis;
  receivedAtMs: Millis;
}

/** Collects what peers said. */
export default class BreakerReportTable {
  private readonly reports = new Map<TargetId, BreakerReport[]>();

  /**
   * Takes a peer's word. Gives the time until which the breaker should be open,
   * once two peers agree or one peer agrees with a failure that this VM saw.
   */
  recordReport(target: TargetId, word: BreakerReport, hasOwnFailure: boolean): Millis | undefined {
    const others = (this.reports.get(target) ?? []).filter(
      ({ peer, receivedAtMs }) =>
        peer !== word.peer && word.receivedAtMs - receivedAtMs <= MAX_REPORT_AGE_MS,
    );
    const words = [...others, word];
    this.reports.set(target, words);
    const needed = hasOwnFailure ? 1 : MIN_REPORTING_PEERS;
    return words.length >= needed ? word.openUntilMs : undefined;
  }
}
