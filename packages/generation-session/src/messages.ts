/** Events that a session handles and commands that it returns. */
import type { ErrorKind } from '@limelead/errors';
import type {
  AnswerBinding,
  AnswerMessage,
  BreakCause,
  EventDetail,
  FinishReason,
  ModelVersion,
  ResumePoint,
  TargetId,
} from '@limelead/types';

/**
 * Input of a session. The binding of `target-chosen` applies only until the first
 * token is delivered; afterwards the answer keeps its binding.
 */
export type SessionEvent =
  /** A new request, or one resumed from another VM; `tries` counts its earlier resumes. */
  | { kind: 'begin'; resume?: ResumePoint; tries: number; delivered: number }
  | { kind: 'target-chosen'; attempt: number; targetId: TargetId; binding: AnswerBinding }
  | { kind: 'no-target'; attempt: number; error: ErrorKind }
  | { kind: 'opened'; attempt: number; promptTokens: number }
  | { kind: 'tokens'; attempt: number; offset: number; tokens: string[] }
  | { kind: 'ended'; attempt: number; length: number; reason: FinishReason }
  | { kind: 'broken'; attempt: number; cause: BreakCause }
  | { kind: 'silent'; attempt: number }
  | { kind: 'probed'; attempt: number; running: boolean }
  | { kind: 'retry-due'; attempt: number }
  | { kind: 'cancelled' }
  | { kind: 'deadline-passed' }
  | { kind: 'drain' };

/** Side effect that the caller of the session carries out. */
export type SessionCommand =
  | {
      kind: 'choose-target';
      attempt: number;
      /** If set, only targets with this version are eligible. */
      modelVersion?: ModelVersion;
      exclude: TargetId[];
    }
  | {
      kind: 'start';
      attempt: number;
      targetId: TargetId;
      generationId: string;
      binding: AnswerBinding;
      /** Length of the forced prefix in tokens. */
      prefixLength: number;
    }
  | {
      kind: 'attach';
      attempt: number;
      targetId: TargetId;
      generationId: string;
      fromOffset: number;
    }
  | { kind: 'probe'; attempt: number }
  /** Restarts the silence timeout of the attempt. */
  | { kind: 'watch-silence'; attempt: number }
  /** Cancels the attempt at its target and stops reading it. */
  | { kind: 'cancel-attempt'; attempt: number }
  /** Stops reading the attempt without cancelling it. */
  | { kind: 'detach-attempt'; attempt: number }
  /** Cancels a generation that another VM started. */
  | { kind: 'cancel-foreign'; targetId: TargetId; generationId: string; attempt: number }
  | { kind: 'wait-for-retry'; attempt: number; delayMs: number }
  | { kind: 'send'; message: AnswerMessage }
  | { kind: 'fail'; error: ErrorKind; message: string }
  | { kind: 'observe'; detail: EventDetail };
