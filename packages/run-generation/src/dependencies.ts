/** What a generation needs from its VM. */
import type { ChooseTarget } from '@limelead/choose-target';
import type { Metrics } from '@limelead/metrics';
import type { EventBus } from '@limelead/observe-events';
import type { TargetConnector } from '@limelead/ports';
import type { TargetTable } from '@limelead/track-targets';
import type { RecoveryPacer } from '@limelead/pace-recoveries';
import type { Clock, ModelVersion, Random, ResumePoint, Timers } from '@limelead/types';
import type { TokenGapTable } from './token-gap-table.js';

/** Shared by all generations of one VM. */
export interface GenerationDependencies {
  clock: Clock;
  timers: Timers;
  random: Random;
  metrics: Metrics;
  bus: EventBus;
  targets: TargetTable;
  gaps: TokenGapTable;
  connector: TargetConnector;
  pacer: RecoveryPacer;
  chooseTarget: ChooseTarget;
  failureDomain: string;
  /** Unique to this start of this VM's process. */
  incarnation: string;
  /** Version with which new answers of a service begin. */
  currentVersion(service: string): ModelVersion | undefined;
  /** Milliseconds to keep a generation running whose resumable caller's link was lost. */
  abandonedGraceMs: number;
  /** A target's breaker opened; peers want to know. */
  onBreakerOpened(target: string): void;
}

/** How a generation begins on this VM. */
export interface GenerationStart {
  /** Where the answer stood on another VM. */
  resume?: ResumePoint;
  /** How often the caller already presented that point. */
  tries: number;
  /** Tokens that the caller already has. */
  delivered: string[];
}
