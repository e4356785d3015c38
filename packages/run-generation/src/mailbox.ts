/** The queue of events of one generation. A sender that waits is slowed to the pace of the reader. */

interface Letter<Event> {
  event: Event;
  onTaken?: () => void;
}

/** A queue with one reader. */
export default class Mailbox<Event> {
  private letters: Letter<Event>[] = [];
  private wake: (() => void) | undefined;

  /** Adds an event without waiting; only for events that are few. */
  post(event: Event): void {
    this.add({ event });
  }

  /** Adds an event and resolves once the reader took it. */
  deliver(event: Event): Promise<void> {
    return new Promise((resolve) => this.add({ event, onTaken: resolve }));
  }

  /** Resolves with the next event. */
  async take(): Promise<Event> {
    for (;;) {
      const letter = this.letters.shift();
      if (letter !== undefined) {
        letter.onTaken?.();
        return letter.event;
      }
      await new Promise<void>((resolve) => (this.wake = resolve));
    }
  }

  private add(letter: Letter<Event>): void {
    this.letters.push(letter);
    this.wake?.();
    this.wake = undefined;
  }
}
