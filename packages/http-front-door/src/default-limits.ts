import type { CallerLimits } from '@limelead/types';

const DEFAULT_LIMITS: Readonly<CallerLimits> = {
  maxHeaderBytes: 16_384,
  maxBodyBytes: 4_194_304,
  headerTimeoutMs: 3_000,
  idleTimeoutMs: 15_000,
};

/** Limits of a configuration, which may leave some of them out. */
export type ConfiguredLimits = { readonly [Name in keyof CallerLimits]?: number | null };

export default function withDefaultLimits(limits: ConfiguredLimits = {}): CallerLimits {
  return {
    maxHeaderBytes: limits.maxHeaderBytes ?? DEFAULT_LIMITS.maxHeaderBytes,
    maxBodyBytes: limits.maxBodyBytes ?? DEFAULT_LIMITS.maxBodyBytes,
    headerTimeoutMs: limits.headerTimeoutMs ?? DEFAULT_LIMITS.headerTimeoutMs,
    idleTimeoutMs: limits.idleTimeoutMs ?? DEFAULT_LIMITS.idleTimeoutMs,
  };
}
