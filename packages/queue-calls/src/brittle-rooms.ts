/**
 * Number of calls that a brittle target gets at once. Such a target accepts fewer calls than before,
 * and ends if it rejects too many a second, so its room is approached from below.
 */
import type { Millis } from '@limelead/types';
import type { QueueTarget } from './queue-ports.js';

/**
 * Time without growth after a target became brittle. It may accept fewer calls at any moment within
 * that time, and would reject all calls beyond them at once.
 */
const SETTLING_MS: Millis = 5_000;
/** Time for which a target has to be full before it gets one more call. */
const GROWTH_MS: Millis = 1_000;
/** The same for a target that survives fewer than two rejections a second. */
const SLOW_GROWTH_MS: Millis = 2_000;
/** Time after a rejection before a target gets one more call. */
const AFTER_REJECTION_MS: Millis = 5_000;
/** Below this number of rejections a second, none is risked. */
const MIN_RISKED_REJECTIONS = 1;
const FEW_REJECTIONS = 2;
/** Time without a question for its limit after which a target counts as newly brittle. */
const ROOM_TTL_MS: Millis = 1_000;

interface Room {
  limit: number;
  rejections: number;
  askedAtMs: Millis;
  growsAtMs: Millis;
}

/** Rooms of the brittle targets of one service. */
export default class BrittleRooms {
  private readonly rooms = new Map<string, Room>();

  /**
   * Calls that a brittle target may have at once. It starts with as many as it could reject within a
   * second.
   * @param used calls that it has now
   */
  limitOf({ id, slots }: QueueTarget, rejections: number, used: number, now: Millis): number {
    const growthMs = rejections < FEW_REJECTIONS ? SLOW_GROWTH_MS : GROWTH_MS;
    const initial = Math.max(1, Math.min(slots, Math.floor(rejections)));
    const known = this.rooms.get(id);
    const isCurrent = known?.rejections === rejections && now - known.askedAtMs < ROOM_TTL_MS;
    const room = isCurrent
      ? known
      : { limit: initial, rejections, growsAtMs: now + SETTLING_MS, askedAtMs: now };
    room.askedAtMs = now;
    this.rooms.set(id, room);
    const mayGrow = rejections >= MIN_RISKED_REJECTIONS && room.limit < slots;
    if (mayGrow && used >= room.limit && now >= room.growsAtMs) {
      room.limit += 1;
      room.growsAtMs = now + growthMs;
    }
    return room.limit;
  }

  /** @param others calls that the target had accepted */
  recordRejection(id: string, others: number, now: Millis): void {
    const room = this.rooms.get(id);
    if (room !== undefined) {
      room.limit = Math.max(1, Math.min(room.limit, others));
      room.growsAtMs = now + AFTER_REJECTION_MS;
    }
  }

  /** Forgets a target that is not brittle any more. */
  forget(id: string): void {
    this.rooms.delete(id);
  }

  /** Forgets all targets except the listed ones. */
  retain(targets: ReadonlySet<string>): void {
    [...this.rooms.keys()].filter((id) => !targets.has(id)).forEach((id) => this.rooms.delete(id));
  }
}
