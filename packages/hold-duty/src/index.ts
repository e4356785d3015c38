/** One VM at a time does a duty. */
export type { Duty, DutyPermit } from './duty.js';
