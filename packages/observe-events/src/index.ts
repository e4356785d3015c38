/** A bounded bus for typed events of what each mechanism does. */
import type { Clock, EventDetail, ObservedEvent, VmId } from '@limelead/types';

const DEFAULT_READER_CAPACITY = 1024;

/** Somebody who watches. Takes events in order; loses them when slow, and is told how many. */
export interface EventReader {
  /** Resolves with the next events, or undefined after close. */
  next(): Promise<EventBatch | undefined>;
  close(): void;
}

/** Events since the last read, and how many were lost before them. */
export interface EventBatch {
  events: ObservedEvent[];
  lost: number;
}

/** Publishes events; costs one comparison while nobody watches. */
export interface EventBus {
  /** The detail is built only when somebody watches. */
  publish(requestId: string, detail: () => EventDetail): void;
  subscribe(capacity?: number): EventReader;
}

/** Creates the bus of one VM. */
export default function createEventBus(vm: VmId, clock: Clock): EventBus {
  const readers = new Set<BoundedReader>();

  return {
    publish(requestId, detail) {
      if (readers.size === 0) {
        return;
      }
      const event: ObservedEvent = { atMs: clock.now(), vm, requestId, detail: detail() };
      for (const reader of readers) {
        reader.push(event);
      }
    },
    subscribe(capacity = DEFAULT_READER_CAPACITY) {
      const reader = new BoundedReader(capacity, () => readers.delete(reader));
      readers.add(reader);
      return reader;
    },
  };
}

class BoundedReader implements EventReader {
  private events: ObservedEvent[] = [];
  private lost = 0;
  private closed = false;
  private wake: (() => void) | undefined;

  constructor(
    private readonly capacity: number,
    private readonly onClose: () => void,
  ) {}

  push(event: ObservedEvent): void {
    if (this.events.length >= this.capacity) {
      this.events.shift();
      this.lost += 1;
    }
    this.events.push(event);
    this.wake?.();
  }

  async next(): Promise<EventBatch | undefined> {
    while (this.events.length === 0 && !this.closed) {
      await new Promise<void>((resolve) => (this.wake = resolve));
    }
    if (this.closed) {
      return undefined;
    }
    const batch = { events: this.events, lost: this.lost };
    this.events = [];
    this.lost = 0;
    return batch;
  }

  close(): void {
    this.closed = true;
    this.onClose();
    this.wake?.();
  }
}
