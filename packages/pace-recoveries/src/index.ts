/**
 * Lets only so many recoveries begin at a time, the most urgent first. After
 * the loss of a failure domain every survivor would otherwise get all the
 * broken streams at once, and the urgent ones would wait behind the rest.
 */

/** Gives a place back; calling it again does nothing. */
export type ReleaseSlot = () => void;

/** Hands out places. */
export interface RecoveryPacer {
  /** Resolves with a place; lower ranks first, then in the order of asking. */
  acquire(rank: number): Promise<ReleaseSlot>;
  /** Recoveries that wait for a place. */
  countWaiting(): number;
}

interface WaitingRecovery {
  rank: number;
  grantSlot: () => void;
}

/** Creates a pacer; `places` is read anew each time, because targets come and go. */
export default function createRecoveryPacer(places: () => number): RecoveryPacer {
  let taken = 0;
  let queue: WaitingRecovery[] = [];

  function grantNext(): void {
    while (queue.length > 0 && taken < places()) {
      const next = queue.reduce((best, waiting) => (waiting.rank < best.rank ? waiting : best));
      queue = queue.filter((waiting) => waiting !== next);
      taken += 1;
      next.grantSlot();
    }
  }

  function createRelease(): ReleaseSlot {
    let isReleased = false;
    return () => {
      if (!isReleased) {
        isReleased = true;
        taken -= 1;
        grantNext();
      }
    };
  }

  return {
    acquire(rank) {
      return new Promise((resolve) => {
        queue.push({ rank, grantSlot: () => resolve(createRelease()) });
        grantNext();
      });
    },
    countWaiting: () => queue.length,
  };
}
