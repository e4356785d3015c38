/** Messages between VMs and model engines. */
import type { ModelVersion } from './targets.js';

/** Starts a generation on an engine, optionally after a forced prefix. */
export interface StartOrder {
  /** Unique for each start on each target. */
  generationId: string;
  /** Higher attempts fence lower ones. */
  attempt: number;
  modelVersion: ModelVersion;
  prompt: string;
  /** Tokens already delivered; the engine continues after them. */
  forcedPrefix: string[];
  seed: number;
  maxTokens: number;
  /** 0 is the most urgent. */
  rank: number;
  /** Maximum rate in tokens a second; 0 for no limit. */
  paceTokensPerSecond: number;
}

/** Reattaches to a generation that still runs on an engine. */
export interface AttachOrder {
  generationId: string;
  attempt: number;
  /** Offset of the first token to send. */
  fromOffset: number;
}

/** A message of an engine's stream. */
export type EngineMessage =
  | { kind: 'accepted'; cachedPromptTokens: number; promptTokens: number }
  | { kind: 'tokens'; offset: number; tokens: string[] }
  | { kind: 'end'; length: number; reason: FinishReason };

/** Why the model ended an answer. */
export type FinishReason = 'stop' | 'length';

/** Loads or unloads a model. The fence is the epoch of the lease under which the order is given. */
export interface PlacementOrder {
  action: 'load' | 'unload';
  modelVersion: ModelVersion;
  fence: number;
}
