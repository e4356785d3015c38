/** Dependencies and parameters of a generation. */
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
  /** Id of this run of the VM's process. */
  incarnation: string;
  /** Returns the version that produces new answers of a service. */
  currentVersion(service: string): ModelVersion | undefined;
  /** How long a generation keeps running after the connection of its resumable caller is lost. */
  abandonedGraceMs: number;
  /** Called when the breaker of a target opens. */
  onBreakerOpened(target: string): void;
}

/** Initial state of a generation on this VM. */
export interface GenerationStart {
  /** Resume point of an answer that began on another VM. */
  resume?: ResumePoint;
  /** Number of times that the caller already presented this resume point. */
  tries: number;
  /** Tokens that the caller already received. */
  delivered: string[];
}
