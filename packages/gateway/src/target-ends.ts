/** Tells the end of a target from a broken link and from a target that resets connections. */
import { queryTarget, type TargetDialect } from '@limelead/forward-request';
import type { TargetConnections } from '@limelead/target-connections';
import type { TargetDirectory } from '@limelead/track-service-targets';
import type { Millis, Timers } from '@limelead/types';

/**
 * Time for a target to answer, in milliseconds. One whose program ended refuses the connection
 * within the time of the way; the request that waits for the answer is in the meantime held.
 */
const ANSWER_MS = 250;

/** What telling needs. */
export interface TargetEndsOptions {
  timers: Timers;
  directory: TargetDirectory;
  connections: TargetConnections;
  dialect: TargetDialect;
}

/** Looks at what is known of a target, and asks it where that does not decide. */
export default class TargetEnds {
  /** Questions under way, by target: many runs break on one at the same moment. */
  private readonly asked = new Map<string, Promise<boolean>>();

  constructor(private readonly options: TargetEndsOptions) {}

  /** Whether any answer came from that incarnation since then; steady time. */
  wasHeardSince(id: string, sinceMs: Millis): boolean {
    return (this.options.directory.get(id)?.health.lastResponseAtMs ?? 0) > sinceMs;
  }

  /** Whether the incarnation on which a run broke then is over. */
  hasEnded(id: string, brokeAtMs: Millis): Promise<boolean> {
    const target = this.options.directory.get(id)?.target;
    if (target === undefined) {
      return Promise.resolve(true);
    }
    if (this.wasHeardSince(id, brokeAtMs)) {
      return Promise.resolve(false);
    }
    const asked = this.asked.get(id);
    if (asked !== undefined) {
      return asked;
    }
    const { connections, timers, dialect } = this.options;
    const answer = queryTarget(
      { connections, timers, timeoutMs: ANSWER_MS },
      target,
      dialect.composeProbe(target),
    )
      .then((body) => body === undefined)
      .finally(() => this.asked.delete(id));
    this.asked.set(id, answer);
    return answer;
  }
}
