/** One generation from the system's point of view. */
import type { FinishReason } from './engine.js';
import type { Priority } from './configuration.js';
import type { Millis } from './time.js';
import type { ModelVersion, TargetId } from './targets.js';

/** A validated request for a generation. */
export interface GenerationRequest {
  requestId: string;
  organisation: string;
  service: string;
  prompt: string;
  maxTokens: number;
  priority: Priority;
  /** Unix milliseconds by which the whole answer must be delivered; undefined for no deadline. */
  deadlineAtMs?: Millis;
  /** Maximum rate in tokens a second; 0 for no limit. */
  paceTokensPerSecond: number;
  /** Whether the caller presents its resume handle to another VM after a break. */
  resumable: boolean;
}

/** Properties that an answer keeps across all attempts. */
export interface AnswerBinding {
  modelVersion: ModelVersion;
  seed: number;
}

/** Where to continue an answer, as stored in a resume handle. */
export interface ResumePoint {
  binding: AnswerBinding;
  targetId: TargetId;
  generationId: string;
  attempt: number;
  /** Unix milliseconds; undefined for no deadline. */
  deadlineAtMs?: Millis;
}

/** A message to the caller. */
export type AnswerMessage =
  | { kind: 'started'; binding: AnswerBinding; attempt: number; resume: ResumePoint }
  | { kind: 'tokens'; offset: number; tokens: string[] }
  | { kind: 'finished'; length: number; reason: FinishReason; recoveries: number }
  | { kind: 'handover' }
  | { kind: 'keep-alive' };
