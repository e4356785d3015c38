/** Typed events of all mechanisms, for operators who watch the system. */
import type { Millis } from './time.js';
import type { Revision } from './configuration.js';
import type { TargetId, VmId } from './targets.js';

/** A target that the router considered. */
export interface ObservedCandidate {
  target: TargetId;
  /** Expected milliseconds until the first output token. */
  costMs: number;
  /** Expected share of the prompt in the prefix cache, 0 to 1. */
  cachedShare: number;
}

/** Why a stream broke. */
export type BreakCause =
  'silence' | 'link-broken' | 'refused' | 'cut-short' | 'target-gone' | 'vm-lost';

/** How an answer is continued. */
export type RecoveryStrategy = 'attach' | 'import' | 'recompute' | 'restart' | 'fail';

/** Fields specific to each kind of event. */
export type EventDetail =
  | {
      kind: 'targetChosen';
      target: TargetId;
      attempt: number;
      reason: string;
      considered: ObservedCandidate[];
    }
  | {
      kind: 'streamBroken';
      target: TargetId;
      attempt: number;
      cause: BreakCause;
      delivered: number;
    }
  | { kind: 'recoveryPlanned'; way: RecoveryStrategy; reason: string; repeatedTokens: number }
  | { kind: 'streamContinued'; target: TargetId; attempt: number; resumeLatencyMs: number }
  | { kind: 'staleTokensDropped'; attempt: number; tokens: number }
  | { kind: 'requestRefused'; organisation: string; errorKind: string }
  | { kind: 'callClaimed'; outcome: 'granted' | 'held-by-other' | 'expired' | 'unavailable' }
  | { kind: 'configurationAdvanced'; revision: Revision; source: 'store' | 'peer' | 'own-change' }
  | { kind: 'membershipChanged'; subject: VmId; state: string }
  | { kind: 'breakerChanged'; target: TargetId; state: string; source: string }
  | { kind: 'leaseChanged'; lease: string; epoch: number; state: string }
  | { kind: 'orderGiven'; target: TargetId; order: string; fence: number; outcome: string }
  | { kind: 'answerFinished'; length: number; recoveries: number }
  | { kind: 'targetChanged'; target: TargetId; state: string };

/** An event with its time, VM and request. */
export interface ObservedEvent {
  atMs: Millis;
  vm: VmId;
  /** Empty if the event belongs to no request. */
  requestId: string;
  detail: EventDetail;
}
