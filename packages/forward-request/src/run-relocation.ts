/**
 * Moves a silent run to another target. The run of a lost target stays until the next target has
 * accepted the request, since its own target may go on while no other one continues the stream.
 */
import type { LimeleadError } from '@limelead/errors';
import type { CancelTimer, Millis, Timers } from '@limelead/types';
import type SlotSearch from './slot-search.js';
import type { SlotSearchEvents } from './slot-search.js';
import type { Slot } from './slot-request.js';

/** Time between two searches. */
const SEARCH_INTERVAL_MS: Millis = 150;
/**
 * Time after which a target that has not rejected the request counts as having accepted it: several
 * round trips, but short, since both targets may work on the request meanwhile.
 */
const ACCEPTANCE_MS: Millis = 200;

export interface RunRelocationOptions {
  timers: Timers;
  /** Number of the attempt whose run is silent. */
  attempt: number;
  createSearch(events: SlotSearchEvents): SlotSearch;
  /** Called with a slot, at which the next attempt is to start. */
  onSlot(slot: Slot): void;
  /** False if the run has to end before the next attempt starts. */
  startsBeside: boolean;
  /** Called once, if the first search finds nothing. The error is undefined without a target. */
  onKept(error: LimeleadError | undefined): void;
  /** The next attempt was accepted; the silent run is to be given up. */
  onAccepted(): void;
}

/** The relocation of one silent run. */
export default class RunRelocation {
  private isOver = false;
  private isKept = false;
  private hasNextAttempt = false;
  private search: SlotSearch | undefined;
  private cancelTimer: CancelTimer = () => undefined;

  constructor(private readonly options: RunRelocationOptions) {}

  /** Number of the attempt whose run is silent. */
  get attempt(): number {
    return this.options.attempt;
  }

  begin(): void {
    this.search = this.options.createSearch({
      onSlot: (slot) => this.startNext(slot),
      onNoTarget: () => this.keep(),
      onRefused: (error) => this.keep(error),
    });
    this.search.begin();
  }

  /** The next attempt has ended without output; another target is sought. */
  onNextFailed(): void {
    if (this.hasNextAttempt && !this.isOver) {
      this.hasNextAttempt = false;
      this.searchLater();
    }
  }

  /** A target has accepted an attempt; if it is the next one, the silent run is given up. */
  onAccepted(attempt: number): void {
    if (attempt !== this.options.attempt && this.hasNextAttempt && !this.isOver) {
      this.accept();
    }
  }

  /** Ends the relocation: the run has written again, or has ended. */
  cancel(): void {
    this.isOver = true;
    this.search?.cancel();
    this.cancelTimer();
  }

  private startNext(slot: Slot): void {
    const { startsBeside } = this.options;
    this.hasNextAttempt = startsBeside;
    // A VM that relays may queue the request, which its first output tells apart.
    if (startsBeside && slot.tracked.target.isHelper !== true) {
      this.cancelTimer = this.options.timers.after(ACCEPTANCE_MS, () => this.accept());
    }
    this.options.onSlot(slot);
  }

  private accept(): void {
    this.cancel();
    this.options.onAccepted();
  }

  private keep(error?: LimeleadError): void {
    if (!this.isKept) {
      this.isKept = true;
      this.options.onKept(error);
    }
    this.searchLater();
  }

  private searchLater(): void {
    this.cancelTimer();
    this.cancelTimer = this.options.timers.after(SEARCH_INTERVAL_MS, () => this.begin());
  }
}
