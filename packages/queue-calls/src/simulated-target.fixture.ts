/** A simulated target of a plain service. */
import type { PlaceOutcome, Timers } from '@limelead/types';

/** Calls that a target runs at once. */
export const SLOTS = 6;
const WAITING_PLACES = 24;
const SLOW_FACTOR = 2.5;

/** A target that runs as many calls as it has slots, and holds some more. */
export default class SimulatedTarget {
  isSlow = false;
  /** Accepts calls and never answers them. */
  isDark = false;
  isListed = true;
  waitingPlaces = WAITING_PLACES;
  running = 0;
  rejected = 0;
  mostAtOnce = 0;
  private readonly waiting: (() => void)[] = [];

  constructor(
    private readonly fleet: { clock: Timers; workMs: number; draw(): number },
    readonly id: string,
  ) {}

  get calls(): number {
    return this.running + this.waiting.length;
  }

  receive(onEnd: (outcome: PlaceOutcome) => void): void {
    if (this.waiting.length >= this.waitingPlaces && this.running >= SLOTS) {
      this.rejected += 1;
      onEnd('rejected');
      return;
    }
    this.waiting.push(() => {
      const workMs = this.fleet.workMs * (0.9 + 0.2 * this.fleet.draw());
      this.fleet.clock.after(workMs * (this.isSlow ? SLOW_FACTOR : 1), () => {
        if (!this.isDark) {
          this.running -= 1;
          onEnd('answered');
          this.start();
        }
      });
    });
    this.start();
  }

  private start(): void {
    while (this.running < SLOTS && this.waiting.length > 0) {
      this.running += 1;
      this.waiting.shift()?.();
    }
    this.mostAtOnce = Math.max(this.mostAtOnce, this.calls);
  }
}
