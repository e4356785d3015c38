/**
 * Looks for another target for a silent run. The run is left only for a slot that is held, since
 * its target may go on while nothing else can continue the stream.
 */
import type { LimeleadError } from '@limelead/errors';
import type { CancelTimer, Millis, Timers } from '@limelead/types';
import type SlotSearch from './slot-search.js';
import type { SlotSearchEvents } from './slot-search.js';
import type { Slot } from './slot-request.js';

/** Time between two searches. */
const SEARCH_INTERVAL_MS: Millis = 150;

export interface RunRelocationOptions {
  timers: Timers;
  createSearch(events: SlotSearchEvents): SlotSearch;
  onSlot(slot: Slot): void;
  /** Called once, if the first search finds nothing. The error is undefined without a target. */
  onKept(error: LimeleadError | undefined): void;
}

/** The search for one silent run. */
export default class RunRelocation {
  private isOver = false;
  private isKept = false;
  private search: SlotSearch | undefined;
  private cancelTimer: CancelTimer = () => undefined;

  constructor(private readonly options: RunRelocationOptions) {}

  begin(): void {
    this.search = this.options.createSearch({
      onSlot: (slot) => {
        this.isOver = true;
        this.options.onSlot(slot);
      },
      onNoTarget: () => this.keep(),
      onRefused: (error) => this.keep(error),
    });
    this.search.begin();
  }

  /** Ends the search: the run has written again, or has ended. */
  cancel(): void {
    this.isOver = true;
    this.search?.cancel();
    this.cancelTimer();
  }

  private keep(error?: LimeleadError): void {
    if (!this.isKept) {
      this.isKept = true;
      this.options.onKept(error);
    }
    this.cancelTimer = this.options.timers.after(SEARCH_INTERVAL_MS, () => {
      if (!this.isOver) {
        this.begin();
      }
    });
  }
}
