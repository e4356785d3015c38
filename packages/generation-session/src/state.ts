/** State of one generation, as plain data. */
import type {
  AnswerBinding,
  GenerationRequest,
  Millis,
  ResumePoint,
  TargetId,
} from '@limelead/types';

/** Where an attempt stands. */
export type AttemptStatus = 'choosing' | 'opening' | 'streaming';

/** One try at producing the rest of the answer on one target. */
export interface Attempt {
  number: number;
  status: AttemptStatus;
  /** Empty while the target is being chosen. */
  targetId: TargetId;
  /** Names the generation at the target; an attach keeps that of the attempt it continues. */
  generationId: string;
  /** True where the attempt reads a generation that was already running. */
  attached: boolean;
  binding?: AnswerBinding;
  /** Failed tries at finding a target for this attempt. */
  failedChoices: number;
  /** Silences sat out since the last token, because the target said that it still runs. */
  waits: number;
}

/** Phase of a generation; `done` is final. */
export type SessionPhase = 'running' | 'done';

/** Everything a session decides from. */
export interface SessionState {
  request: GenerationRequest;
  /** First part of the ids of this session's generations, unique to the VM and the request. */
  generationPrefix: string;
  phase: SessionPhase;
  /** Fixed with the first delivered token; until then that of the current attempt. */
  binding?: AnswerBinding;
  /** Live attempts, oldest first; at most two, the second being a hedge. */
  attempts: Attempt[];
  /** Number of the attempt whose tokens are delivered; 0 before the first. */
  current: number;
  lastAttempt: number;
  delivered: number;
  lastDeliveredAtMs: Millis;
  /** Set while the stream is broken. */
  brokenSinceMs?: Millis;
  breaks: number;
  recoveries: number;
  attachTried: boolean;
  /** Targets not to go back to for this generation. */
  excluded: TargetId[];
  /** Prompt tokens as the engine counted them. */
  promptTokens: number;
  /** A generation that another VM started and that has to be cancelled once it is replaced. */
  foreign?: ResumePoint;
  /** Set while no target is to be had: when to give up. */
  giveUpAtMs?: Millis;
  /** True once this VM is stopping. */
  draining: boolean;
}

/** Creates the state of a session that has not begun. */
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
    current: 0,
    lastAttempt: 0,
    delivered: 0,
    lastDeliveredAtMs: now,
    breaks: 0,
    recoveries: 0,
    attachTried: false,
    excluded: [],
    promptTokens: 0,
    draining: false,
  };
}
