/** Errors with which a stream is refused, or ended between two attempts. */
import type { LimeleadError } from '@limelead/errors';
import type { Millis } from '@limelead/types';
import type { AdmittedRequest } from './admitted-request.js';
import type { ForwardContext } from './context.js';
import createShutdownError from './create-shutdown-error.js';
import { OUT_OF_REACH_MESSAGE, QUARANTINED_MESSAGE } from './limits.js';
import reportRefusal, { REFUSAL_MESSAGE } from './report-refusal.js';
import { NO_VERSION_REFUSAL, type SlotRefusal } from './slot-refusal.js';
import type StreamAttemptTracker from './stream-attempt-tracker.js';

/** Retry-After of a stream whose origin is unknown; the caller comes back to another VM. */
const UNKNOWN_ORIGIN_RETRY_MS: Millis = 250;

/** Creates the errors of one stream; each tells whether the request may have run. */
export default class StreamRefusals {
  constructor(
    private readonly context: ForwardContext,
    private readonly admitted: AdmittedRequest,
    private readonly attempts: StreamAttemptTracker,
  ) {}

  quarantined(retryAfterMs: Millis | undefined): LimeleadError {
    return this.attempts.createError('quarantined', QUARANTINED_MESSAGE, { retryAfterMs });
  }

  shuttingDown(): LimeleadError {
    return createShutdownError(this.attempts.mayHaveRun);
  }

  movedTooOften(): LimeleadError {
    return this.attempts.createError('recovery-exhausted', 'the stream was moved too often');
  }

  tooLate(): LimeleadError {
    const message = 'the prompt could not be read before the deadline';
    return this.attempts.createError('deadline-unreachable', message);
  }

  /** For a stream that was relayed to this VM, which reaches no target either. */
  outOfReach(): LimeleadError {
    return this.attempts.createError('no-target', OUT_OF_REACH_MESSAGE);
  }

  withoutSlot(refusal: SlotRefusal): LimeleadError {
    if (refusal.kind === 'no-version') {
      return this.versionGone();
    }
    const overrides = reportRefusal(this.context, this.admitted, refusal);
    return this.attempts.createError('overloaded', REFUSAL_MESSAGE, overrides);
  }

  /** Another VM may know it. */
  originUnknown(): LimeleadError {
    this.context.metrics.count('limelead_streams_without_version_total', 1, { reason: 'unknown' });
    const message = 'it is not known here which software version began the stream';
    return this.attempts.createError('no-target', message, {
      retryAfterMs: UNKNOWN_ORIGIN_RETRY_MS,
    });
  }

  versionGone(): LimeleadError {
    return this.attempts.createError(
      'version-not-live',
      'no target runs the software version that began the stream',
      reportRefusal(this.context, this.admitted, NO_VERSION_REFUSAL),
    );
  }
}
