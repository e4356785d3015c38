/** Event queue of one generation, with back pressure for senders that wait. */

interface QueuedEvent<Event> {
  event: Event;
  onDequeued?: () => void;
}

/** Queue with one reader. */
export default class EventQueue<Event> {
  private queue: QueuedEvent<Event>[] = [];
  private wakeReader: (() => void) | undefined;

  /** Adds an event without back pressure; for infrequent events only. */
  enqueue(event: Event): void {
    this.add({ event });
  }

  /** Adds an event and resolves once the reader has dequeued it. */
  enqueueAndWait(event: Event): Promise<void> {
    return new Promise((resolve) => this.add({ event, onDequeued: resolve }));
  }

  /** Waits for the next event and removes it from the queue. */
  async dequeue(): Promise<Event> {
    for (;;) {
      const queued = this.queue.shift();
      if (queued !== undefined) {
        queued.onDequeued?.();
        return queued.event;
      }
      await new Promise<void>((resolve) => (this.wakeReader = resolve));
    }
  }

  private add(queued: QueuedEvent<Event>): void {
    this.queue.push(queued);
    this.wakeReader?.();
    this.wakeReader = undefined;
  }
}
