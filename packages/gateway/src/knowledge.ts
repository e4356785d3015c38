/**
 * What this VM knows of configuration and targets, whichever way it came. A
 * configuration is taken only if it is newer than the one in force.
 */
import type { DecisionLog } from '@limelead/decision-log';
import compileRoutes, { type RouteTable } from '@limelead/route-requests';
import type { TargetChange, TargetDirectory } from '@limelead/track-service-targets';
import type { Clock, Millis, ServiceTarget, ServingConfiguration } from '@limelead/types';

/** Where knowledge came from. */
export type KnowledgeSource = 'store' | 'peer';

/** What knowledge needs. */
export interface KnowledgeOptions {
  clock: Clock;
  log: DecisionLog;
  directory: TargetDirectory;
  /** Called with each configuration that comes into force. */
  onConfiguration(table: RouteTable): void;
}

/** Holds the configuration in force, and passes changes of targets on. */
export default class Knowledge {
  private table: RouteTable | undefined;
  private configuration: ServingConfiguration | undefined;
  private hasTargetList = false;
  private changedAtMs: Millis = 0;

  constructor(private readonly options: KnowledgeOptions) {}

  /** The compiled configuration in force. */
  get routes(): RouteTable | undefined {
    return this.table;
  }

  /** The configuration in force, as it came. */
  get inForce(): ServingConfiguration | undefined {
    return this.configuration;
  }

  /** Whether requests can be served. */
  get isComplete(): boolean {
    return this.table !== undefined && this.hasTargetList;
  }

  /** Takes a configuration; an older one or the same is passed over. */
  takeConfiguration(configuration: ServingConfiguration, source: KnowledgeSource): void {
    const { clock, log } = this.options;
    const known = this.table?.version;
    if (known !== undefined && configuration.version <= known) {
      return;
    }
    const now = clock.now();
    log.write('configuration-in-force', {
      version: configuration.version,
      previous: known,
      source,
      routes: configuration.routes.length,
      previousAgeMs: known === undefined ? undefined : Math.round(now - this.changedAtMs),
    });
    this.changedAtMs = now;
    this.configuration = configuration;
    this.table = compileRoutes(configuration);
    this.options.onConfiguration(this.table);
  }

  /** Takes the complete list of targets. */
  takeTargets(targets: ServiceTarget[]): void {
    this.hasTargetList = true;
    this.options.directory.replaceAll(targets);
  }

  /** Takes changes of targets. */
  takeTargetChanges(changes: TargetChange[]): void {
    this.options.directory.apply(changes);
  }
}
