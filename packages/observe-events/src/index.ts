/** An in-process event bus with bounded buffers for the events that operators watch. */
import type { Clock, EventDetail, ObservedEvent, VmId } from '@limelead/types';

const DEFAULT_BUFFER_CAPACITY = 1024;

/** Reads events in order. When its buffer is full, the oldest events are dropped and counted. */
export interface EventSubscription {
  /** Waits for events and resolves with all that are buffered, or with undefined after `close`. */
  next(): Promise<EventBatch | undefined>;
  close(): void;
}

/** The events buffered since the last read. */
export interface EventBatch {
  events: ObservedEvent[];
  /** Number of events dropped since the last read, all of them older than `events`. */
  droppedCount: number;
}

/** Delivers events to all subscriptions. */
export interface EventBus {
  /** Calls `detail` only if there is a subscription. */
  publish(requestId: string, detail: () => EventDetail): void;
  /** @param capacity maximum number of buffered events */
  subscribe(capacity?: number): EventSubscription;
}

/** Creates the event bus of a VM. */
export default function createEventBus(vm: VmId, clock: Clock): EventBus {
  const subscriptions = new Set<BoundedSubscription>();

  return {
    publish(requestId, detail) {
      if (subscriptions.size === 0) {
        return;
      }
      const event: ObservedEvent = { atMs: clock.now(), vm, requestId, detail: detail() };
      for (const subscription of subscriptions) {
        subscription.push(event);
      }
    },
    subscribe(capacity = DEFAULT_BUFFER_CAPACITY) {
      const subscription = new BoundedSubscription(capacity, () =>
        subscriptions.delete(subscription),
      );
      subscriptions.add(subscription);
      return subscription;
    },
  };
}

class BoundedSubscription implements EventSubscription {
  private events: ObservedEvent[] = [];
  private droppedCount = 0;
  private closed = false;
  private wakeReader: (() => void) | undefined;

  constructor(
    private readonly capacity: number,
    private readonly onClose: () => void,
  ) {}

  push(event: ObservedEvent): void {
    if (this.events.length >= this.capacity) {
      this.events.shift();
      this.droppedCount += 1;
    }
    this.events.push(event);
    this.wakeReader?.();
  }

  async next(): Promise<EventBatch | undefined> {
    while (this.events.length === 0 && !this.closed) {
      await new Promise<void>((resolve) => (this.wakeReader = resolve));
    }
    if (this.closed) {
      return undefined;
    }
    const batch = { events: this.events, droppedCount: this.droppedCount };
    this.events = [];
    this.droppedCount = 0;
    return batch;
  }

  close(): void {
    this.closed = true;
    this.onClose();
    this.wakeReader?.();
  }
}
