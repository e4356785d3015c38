/** One generation as the system sees it. */
import type { FinishReason } from './engine.js';
import type { Priority } from './configuration.js';
import type { Millis } from './time.js';
import type { ModelVersion, TargetId } from './targets.js';

/** A checked request for a generation. */
export interface GenerationRequest {
  requestId: string;
  organisation: string;
  service: string;
  prompt: string;
  maxTokens: number;
  priority: Priority;
  /** Unix milliseconds by which the whole answer must land; undefined is no deadline. */
  deadlineAtMs?: Millis;
  /** 0 is as fast as possible. */
  paceTokensPerSecond: number;
  /** True where the caller will present its handle to another VM after a break. */
  resumable: boolean;
}

/** What an answer is bound to for its whole life. */
export interface AnswerBinding {
  modelVersion: ModelVersion;
  seed: number;
}

/** Where an answer is to be continued, as kept in a resume handle. */
export interface ResumePoint {
  binding: AnswerBinding;
  targetId: TargetId;
  generationId: string;
  attempt: number;
  /** Unix milliseconds; undefined is no deadline. */
  deadlineAtMs?: Millis;
}

/** What the caller receives. */
export type AnswerMessage =
  | { kind: 'started'; binding: AnswerBinding; attempt: number; resume: ResumePoint }
  | { kind: 'tokens'; offset: number; tokens: string[] }
  | { kind: 'finished'; length: number; reason: FinishReason; recoveries: number }
  | { kind: 'handover' }
  | { kind: 'keep-alive' };
