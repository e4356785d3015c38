/** What the parts of one VM share. */
import type { AdmissionController } from '@limelead/admit-request';
import type { ChooseTarget } from '@limelead/choose-target';
import type { Logger } from '@limelead/logger';
import type { Metrics } from '@limelead/metrics';
import type { EventBus } from '@limelead/observe-events';
import type { KeyValueStore, TargetConnector, VmListSource } from '@limelead/ports';
import type { RecoveryPacer } from '@limelead/pace-recoveries';
import type { Settings } from '@limelead/read-settings';
import type { HandleSigner } from '@limelead/resume-handle';
import type { GapTable } from '@limelead/run-generation';
import type { CallRunner } from '@limelead/run-call';
import type { ConfigurationStore } from '@limelead/store-configuration';
import type { MemberTable } from '@limelead/track-members';
import type { TargetTable } from '@limelead/track-targets';
import type { Clock, Random, Timers } from '@limelead/types';
import type Authenticator from './authenticator.js';
import type ConfigurationHolder from './configuration-holder.js';
import type OpenGenerations from './open-generations.js';

/** The outside systems as one VM reaches them. */
export interface ExternalSystems {
  store: KeyValueStore;
  vmList: VmListSource;
  connector: TargetConnector;
  close(): Promise<void>;
}

/** Clock, timers and randomness. */
export interface Runtime {
  clock: Clock;
  timers: Timers;
  random: Random;
}

/** Decisions that a measurement may replace by a baseline. */
export interface Strategies {
  chooseTarget: ChooseTarget;
  /** Absent takes the pacer that follows the number of engines and VMs. */
  pacer?: RecoveryPacer;
}

/** Shared by the parts of one VM. */
export interface VmContext extends Runtime {
  settings: Settings;
  /** Unique to this start of the process. */
  incarnation: string;
  logger: Logger;
  metrics: Metrics;
  bus: EventBus;
  externalSystems: ExternalSystems;
  targets: TargetTable;
  gaps: GapTable;
  members: MemberTable;
  configuration: ConfigurationHolder;
  configurationStore: ConfigurationStore;
  admission: AdmissionController;
  pacer: RecoveryPacer;
  chooseTarget: ChooseTarget;
  authenticator: Authenticator;
  signer: HandleSigner;
  openGenerations: OpenGenerations;
  callRunner: CallRunner;
  /** True once a planned stop has begun to refuse new work. */
  isDraining(): boolean;
}
