/** Calls that wait for a place at a target of a service whose waiting calls all VMs share. */
import type { RequestMark } from './demand.js';
import type { PermitRefusal, WaitingRequest } from './permits.js';
import type { Millis } from './time.js';

/** A call that waits for a place. */
export interface WaitingCall extends WaitingRequest {
  requestId: string;
  organisation?: string;
  /** True if the same organisation sent the same call shortly before. */
  isRepeat: boolean;
  /** By which the queue of all VMs detects repeats that arrive at different VMs. */
  mark?: RequestMark;
  /** Steady time of the objective for the complete answer. */
  objectiveAtMs: Millis;
  /** Targets that failed the call; used only if the service has no others. */
  avoid: ReadonlySet<string>;
}

/** The calls of one VM that wait for a place. */
export interface WaitingCallQueue {
  /** Waiting calls of a service, in the order in which a VM alone serves them. */
  list(service: string): readonly WaitingCall[];
  /** Sends waiting calls that have a target now. */
  serve(): void;
  /** Sends the waiting call to the target; false if the call or the target can't be used. */
  serveAt(id: number, target: string): boolean;
  /** Refuses the waiting call; nothing happens if it waits no more. */
  refuse(id: number, refusal: PermitRefusal): void;
  /** Whether this VM can't use a place at the target now. */
  isAvoided(target: string): boolean;
}

/** How a call at a target ended; undefined if it was cancelled or failed. */
export type PlaceOutcome = 'answered' | 'rejected' | undefined;

/** Ends the use of a place; must be called once. */
export type ReleasePlace = (outcome?: PlaceOutcome) => void;
