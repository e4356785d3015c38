/** Context that the components of one VM share. */
import type { AdmissionController } from '@limelead/admit-request';
import type { ChooseTarget } from '@limelead/choose-target';
import type { Logger } from '@limelead/logger';
import type { Metrics } from '@limelead/metrics';
import type { EventBus } from '@limelead/observe-events';
import type { KeyValueStore, TargetConnector, VmListSource } from '@limelead/ports';
import type { RecoveryPacer } from '@limelead/pace-recoveries';
import type { Settings } from '@limelead/read-settings';
import type { HandleSigner } from '@limelead/resume-handle';
import type { TokenGapTable } from '@limelead/run-generation';
import type { CallRunner } from '@limelead/run-call';
import type { ConfigurationStore } from '@limelead/store-configuration';
import type { MemberTable } from '@limelead/track-members';
import type { TargetTable } from '@limelead/track-targets';
import type { Clock, Random, Timers } from '@limelead/types';
import type Authenticator from './authenticator.js';
import type ConfigurationHolder from './configuration-holder.js';
import type OpenCalls from './open-calls.js';
import type OpenGenerations from './open-generations.js';

/** Clients of the external systems that one VM uses. */
export interface ExternalSystems {
  store: KeyValueStore;
  vmList: VmListSource;
  connector: TargetConnector;
  close(): Promise<void>;
}

/** Sources of time and randomness, replaceable in tests. */
export interface Runtime {
  clock: Clock;
  timers: Timers;
  random: Random;
}

/** Replaceable decision functions, for comparisons with a baseline. */
export interface Strategies {
  chooseTarget: ChooseTarget;
  /** Defaults to a pacer that scales with the number of engines and VMs. */
  pacer?: RecoveryPacer;
}

/** Components and state that the parts of the daemon share. */
export interface VmContext extends Runtime {
  settings: Settings;
  /** Unique id of this run of the process. */
  incarnation: string;
  logger: Logger;
  metrics: Metrics;
  bus: EventBus;
  externalSystems: ExternalSystems;
  targets: TargetTable;
  gaps: TokenGapTable;
  members: MemberTable;
  configuration: ConfigurationHolder;
  configurationStore: ConfigurationStore;
  admission: AdmissionController;
  pacer: RecoveryPacer;
  chooseTarget: ChooseTarget;
  authenticator: Authenticator;
  signer: HandleSigner;
  openGenerations: OpenGenerations;
  openCalls: OpenCalls;
  callRunner: CallRunner;
  /** True once a graceful stop refuses new requests. */
  isDraining(): boolean;
}
