/** Passes on the loads that targets state in their responses, and reports unreadable ones. */
import {
  createRateLimitedLog,
  type DecisionLog,
  type RateLimitedLog,
} from '@limelead/decision-log';
import type { Metrics } from '@limelead/metrics';
import type { Clock, DirectiveResponse, StatedLoad } from '@limelead/types';

/** A load with the pace of its target, which placement follows. */
export type FollowedLoad = Required<StatedLoad>;

/** Lines about readable loads, which arrive with each response. */
const MAX_LOAD_LINES_PER_SECOND = 1;

/** Dependencies of `LoadReader`. */
export interface LoadReaderOptions {
  clock: Clock;
  log: Pick<DecisionLog, 'write'>;
  metrics: Pick<Metrics, 'count'>;
  /** Called with each load that states a pace. */
  onLoad?(target: string, load: FollowedLoad): void;
}

/**
 * Follows a load only if it states a pace: targets that state none are served as before, and their
 * load is only counted and logged.
 */
export default class LoadReader {
  private readonly logLoad: RateLimitedLog;
  private readonly logUnreadable: RateLimitedLog;

  constructor(private readonly options: LoadReaderOptions) {
    const { clock, log } = options;
    this.logLoad = createRateLimitedLog(log, clock, 'target-load', MAX_LOAD_LINES_PER_SECOND);
    this.logUnreadable = createRateLimitedLog(log, clock, 'target-load-unreadable');
  }

  /** Handles the load in a response, if there is one. */
  onResponse({ target, requestId, directives: { load } }: DirectiveResponse): void {
    if (load.kind === 'none') {
      return;
    }
    if (load.kind === 'unreadable') {
      this.count('unreadable');
      this.logUnreadable({ target, requestId, text: load.text });
      return;
    }
    const { running, waiting, slots, pacePercent } = load;
    const isFollowed = pacePercent !== undefined;
    this.count(isFollowed ? 'followed' : 'not-followed');
    this.logLoad({ target, running, waiting, slots, pacePercent, isFollowed });
    if (isFollowed) {
      this.options.onLoad?.(target, { running, waiting, slots, pacePercent });
    }
  }

  private count(outcome: 'followed' | 'not-followed' | 'unreadable'): void {
    this.options.metrics.count('limelead_target_loads_total', 1, { outcome });
  }
}
