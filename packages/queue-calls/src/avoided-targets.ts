/**
 * Targets that one VM can't use, as it names them to the queue VM. The queue VM may list targets that
 * this VM does not know yet or any more; without them in the message it would give places there
 * again and again.
 */
import type { WaitingCallQueue } from '@limelead/types';
import type { QueueTarget } from './queue-ports.js';

/** The avoided targets of one service. */
export default class AvoidedTargets {
  /** Targets at which a place could not be used. */
  private readonly unusable = new Set<string>();

  recordUnusable(target: string): void {
    this.unusable.add(target);
  }

  /** Avoided targets among the known ones and those at which a place could not be used. */
  list(
    known: readonly QueueTarget[],
    { isAvoided }: Pick<WaitingCallQueue, 'isAvoided'>,
  ): string[] {
    this.unusable.forEach((id) => isAvoided(id) || this.unusable.delete(id));
    const avoided = known.map(({ id }) => id).filter((id) => isAvoided(id));
    return [...new Set([...avoided, ...this.unusable])];
  }

  clear(): void {
    this.unusable.clear();
  }
}
