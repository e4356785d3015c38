/** Messages to and from a model engine. */
import type { ModelVersion } from './targets.js';

/** Starts a generation on an engine, fresh or behind a forced prefix. */
export interface StartOrder {
  /** Unique for each start on each target. */
  generationId: string;
  /** Higher attempts fence lower ones. */
  attempt: number;
  modelVersion: ModelVersion;
  prompt: string;
  /** Tokens already delivered; the engine continues behind them. */
  forcedPrefix: string[];
  seed: number;
  maxTokens: number;
  /** 0 is the most urgent. */
  rank: number;
  /** Tokens a second wanted at most; 0 is as fast as possible. */
  paceTokensPerSecond: number;
}

/** Attaches again to a generation that still runs on an engine. */
export interface AttachOrder {
  generationId: string;
  attempt: number;
  /** Offset of the first token wanted. */
  fromOffset: number;
}

/** A piece of an engine's stream. */
export type EngineMessage =
  | { kind: 'accepted'; cachedPromptTokens: number; promptTokens: number }
  | { kind: 'tokens'; offset: number; tokens: string[] }
  | { kind: 'end'; length: number; reason: FinishReason };

/** Why a model ended an answer. */
export type FinishReason = 'stop' | 'length';

/** An order about models or roles. The fence is the epoch of the lease under which it is given. */
export interface PlacementOrder {
  action: 'load' | 'unload';
  modelVersion: ModelVersion;
  fence: number;
}
