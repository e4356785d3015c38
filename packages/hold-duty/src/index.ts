/** One VM at a time does a duty. */
export { default as ConditionalSeat, type ConditionalSeatOptions } from './conditional-seat.js';
export { default as DutyKeeper, type DutyKeeperOptions } from './duty-keeper.js';
export type { Duty, DutyPermit } from './duty.js';
export { default as HeldDuty, type DutyLoss, type HeldDutyOptions } from './held-duty.js';
export { default as KeyValueSeat, type KeyValueSeatOptions } from './key-value-seat.js';
export type { LeaseSeat, SeatAnswer } from './lease-seat.js';
export type { DutyStep } from './plan-step.js';
