/** Keeps this VM's configuration up to date with the key-value store. */
import type { PortFault } from '@limelead/errors';
import type { StoredConfiguration } from '@limelead/store-configuration';
import * as E from 'fp-ts/lib/Either.js';
import isWatcher from './is-watcher.js';
import startLoop, { type Loop } from './loop.js';
import type { VmContext } from './vm-context.js';

const LOOP_PAUSE_MS = 250;
/** Interval at which a VM that is not a watcher reads the configuration. */
const READ_INTERVAL_MS = 30_000;

/** Starts to watch the configuration if this VM is a watcher, or else to read it at intervals. */
export default function watchConfiguration(context: VmContext): Loop {
  const watcher = new ConfigurationWatcher(context);
  return startLoop(context, LOOP_PAUSE_MS, () => watcher.refresh());
}

class ConfigurationWatcher {
  private headVersion = 0;
  private nextReadAtMs = 0;
  private isReachable = true;

  constructor(private readonly context: VmContext) {}

  async refresh(): Promise<void> {
    const { configurationStore, configuration, settings, clock, metrics } = this.context;
    const known = configuration.configuration;
    if (known.revision > 0 && isWatcher(this.context)) {
      metrics.count('limelead_store_watches_total');
      const { configurationWaitMs } = settings.timing;
      // After a failure, read without waiting: a lost watch would hide every
      // change until it times out.
      const call = this.isReachable
        ? configurationStore.watch(known, this.headVersion, configurationWaitMs)
        : configurationStore.read(known);
      await this.applyResult(await call());
    } else if (known.revision === 0 || clock.now() >= this.nextReadAtMs) {
      this.nextReadAtMs = clock.now() + READ_INTERVAL_MS;
      await this.applyResult(await configurationStore.read(known)());
    }
  }

  private async applyResult(result: E.Either<PortFault, StoredConfiguration>): Promise<void> {
    this.recordReachability(E.isRight(result));
    if (E.isLeft(result)) {
      return;
    }
    const { configuration, changes, headVersion, storedRevision } = result.right;
    this.headVersion = headVersion;
    this.context.configuration.adopt(configuration, changes, 'store');
    if (storedRevision < this.context.configuration.configuration.revision) {
      await this.restoreStore();
    }
  }

  /** Writes the current configuration back to a store that was restored to an older one. */
  private async restoreStore(): Promise<void> {
    const { configurationStore, configuration, logger, metrics } = this.context;
    const { revision } = configuration.configuration;
    logger.warn('the key-value service holds an older configuration', { revision });
    metrics.count('limelead_configuration_restores_total');
    await configurationStore.restore(configuration.configuration, configuration.latestChanges)();
  }

  private recordReachability(isReachable: boolean): void {
    const { logger, metrics } = this.context;
    if (!isReachable) {
      metrics.count('limelead_store_faults_total');
    }
    if (isReachable !== this.isReachable) {
      this.isReachable = isReachable;
      logger.warn('reachability of the key-value service changed', { reachable: isReachable });
    }
  }
}
