/** The queue of events of one generation. A sender that waits is slowed to the pace of the reader. */

interface QueuedEvent<Event> {
  event: Event;
  onDequeued?: () => void;
}

/** A queue with one reader. */
export default class EventQueue<Event> {
  private queue: QueuedEvent<Event>[] = [];
  private wakeReader: (() => void) | undefined;

  /** Adds an event without waiting; only for events that are few. */
  enqueue(event: Event): void {
    this.add({ event });
  }

  /** Adds an event and resolves once the reader took it. */
  enqueueAndWait(event: Event): Promise<void> {
    return new Promise((resolve) => this.add({ event, onDequeued: resolve }));
  }

  /** Resolves with the next event. */
  async dequeue(): Promise<Event> {
    for (;;) {
      const letter = this.queue.shift();
      if (letter !== undefined) {
        letter.onDequeued?.();
        return letter.event;
      }
      await new Promise<void>((resolve) => (this.wakeReader = resolve));
    }
  }

  private add(letter: QueuedEvent<Event>): void {
    this.queue.push(letter);
    this.wakeReader?.();
    this.wakeReader = undefined;
  }
}
