/**
 * Limits the number of concurrent recoveries, the most urgent first. Otherwise the loss of
 * a failure domain would send all its broken streams to the remaining targets at once.
 */

/** Releases a slot. Further calls have no effect. */
export type ReleaseSlot = () => void;

/** Grants recovery slots. */
export interface RecoveryPacer {
  /** Waits for a slot; lower ranks first, then in order of arrival. */
  acquire(rank: number): Promise<ReleaseSlot>;
  /** Number of recoveries that wait for a slot. */
  countWaiting(): number;
}

interface WaitingRecovery {
  rank: number;
  grantSlot: () => void;
}

/** Creates a pacer. `getSlotCount` is called for each grant, because the set of targets changes. */
export default function createRecoveryPacer(getSlotCount: () => number): RecoveryPacer {
  let acquired = 0;
  let queue: WaitingRecovery[] = [];

  function grantFreeSlots(): void {
    while (queue.length > 0 && acquired < getSlotCount()) {
      const next = queue.reduce((best, waiting) => (waiting.rank < best.rank ? waiting : best));
      queue = queue.filter((waiting) => waiting !== next);
      acquired += 1;
      next.grantSlot();
    }
  }

  function createRelease(): ReleaseSlot {
    let isReleased = false;
    return () => {
      if (!isReleased) {
        isReleased = true;
        acquired -= 1;
        grantFreeSlots();
      }
    };
  }

  return {
    acquire(rank) {
      return new Promise((resolve) => {
        queue.push({ rank, grantSlot: () => resolve(createRelease()) });
        grantFreeSlots();
      });
    },
    countWaiting: () => queue.length,
  };
}
