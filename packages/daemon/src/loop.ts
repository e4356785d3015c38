/** Runs an asynchronous task repeatedly with a pause between its runs. */
import type { Logger } from '@limelead/logger';
import type { Random, Timers } from '@limelead/types';

const JITTER_RATIO = 0.2;

/** Dependencies of a loop. */
export interface LoopDependencies {
  timers: Timers;
  random: Random;
  logger: Logger;
}

/** A running loop. */
export interface Loop {
  stop(): void;
}

/** Starts a loop. Jitter on the pause keeps VMs that started together from running in step. */
export default function startLoop(
  dependencies: LoopDependencies,
  pauseMs: number,
  task: () => Promise<void>,
): Loop {
  const { timers, random, logger } = dependencies;
  let isStopped = false;

  async function run(): Promise<void> {
    try {
      await task();
    } catch (thrown) {
      logger.error('a task failed', { error: String(thrown) });
    }
    if (!isStopped) {
      timers.after(pauseMs * (1 + JITTER_RATIO * (random.next() - 0.5)), () => void run());
    }
  }

  void run();
  return {
    stop: () => {
      isStopped = true;
    },
  };
}
