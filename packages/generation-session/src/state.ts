/** State of one generation. */
import type {
  AnswerBinding,
  GenerationRequest,
  Millis,
  ResumePoint,
  TargetId,
} from '@limelead/types';

/** Progress of an attempt. */
export type AttemptStatus = 'choosing' | 'opening' | 'streaming';

/** One attempt to produce the rest of the answer at one target. */
export interface Attempt {
  number: number;
  status: AttemptStatus;
  /** Empty while the target is being chosen. */
  targetId: TargetId;
  /** Id of the generation at the target; an attach reuses the id of the attempt it continues. */
  generationId: string;
  /** True if the attempt reads a generation that was already running. */
  isAttach: boolean;
  binding?: AnswerBinding;
  /** Number of failed target selections for this attempt. */
  failedSelections: number;
  /** Silence timeouts extended since the last token, because a probe found the generation running. */
  consecutiveWaits: number;
}

/** Phase of a generation; `done` is final. */
export type SessionPhase = 'running' | 'done';

/** Complete state of a session. */
export interface SessionState {
  request: GenerationRequest;
  /** Prefix of the session's generation ids, unique to the VM and the request. */
  generationPrefix: string;
  phase: SessionPhase;
  /** Binding of the current attempt; fixed once the first token is delivered. */
  binding?: AnswerBinding;
  /** Live attempts, oldest first; at most two, of which the second is a hedge. */
  attempts: Attempt[];
  /** Number of the attempt whose tokens are delivered; 0 before the first. */
  currentAttempt: number;
  /** Number of the newest attempt. */
  lastAttempt: number;
  /** Number of delivered tokens. */
  delivered: number;
  lastDeliveredAtMs: Millis;
  /** Set while the stream is broken. */
  brokenSinceMs?: Millis;
  breakCount: number;
  recoveries: number;
  attachAttempted: boolean;
  /** Targets that must not be chosen again. */
  excludedTargets: TargetId[];
  /** Prompt tokens as counted by the engine. */
  promptTokens: number;
  /** Generation that another VM started; cancelled once it is replaced. */
  foreignGeneration?: ResumePoint;
  /** Time at which the search for a target ends; set while none is available. */
  giveUpAtMs?: Millis;
  /** True once this VM has begun to drain. */
  isDraining: boolean;
}

/** Creates the initial state of a session. */
export function createSession(
  request: GenerationRequest,
  generationPrefix: string,
  now: Millis,
): SessionState {
  return {
    request,
    generationPrefix,
    phase: 'running',
    attempts: [],
    currentAttempt: 0,
    lastAttempt: 0,
    delivered: 0,
    lastDeliveredAtMs: now,
    breakCount: 0,
    recoveries: 0,
    attachAttempted: false,
    excludedTargets: [],
    promptTokens: 0,
    isDraining: false,
  };
}
