/** What is known of a target, and what changes it, as plain data. */
import type { Millis, ServiceTarget } from '@limelead/types';
import type { TargetEvidence, TargetObservation } from './evidence.js';

/** One incarnation of a target with everything known of it. */
export interface TrackedServiceTarget {
  target: ServiceTarget;
  /** Hash of the id, for the spread of sessions over targets. */
  hash: number;
  evidence: TargetEvidence;
  /** Requests of this VM under way there. */
  inFlight: number;
  /** Those of them that read their prompts. */
  reading: number;
  /** Requests of other VMs under way there, as far as they told or were advised. */
  peerRequests: number;
  /** Those of them that read their prompts. */
  peerReading: number;
  /** When a prompt was last known to be read there; 0 for never. */
  readAtMs: Millis;
  /** Copies of runs of this VM kept there. */
  copies: number;
  /** Copies of runs of other VMs kept there, as far as they told. */
  peerCopies: number;
}

/** A change of what the directory of targets tells. */
export type TargetChange = { kind: 'put'; target: ServiceTarget } | { kind: 'gone'; id: string };

/** What a change did, for the log. */
export type TargetNotice =
  | { kind: 'joined'; target: ServiceTarget }
  | { kind: 'leaving'; target: ServiceTarget }
  | { kind: 'gone'; target: ServiceTarget };

/** How a run's target was lost: its connection broke, or nothing came from it. */
export type LossCause = 'broken' | 'silent';

/** What one VM tells others of a target: it seems down, or another incarnation took its address. */
export type TargetLoss = Extract<TargetObservation['kind'], 'lost' | 'replaced'>;

/** What the owner of a directory is told and asked. */
export interface TargetDirectoryEvents {
  onNotice(notice: TargetNotice): void;
  /** This VM itself found a target lost. */
  onLost(id: string, loss: TargetLoss): void;
  /** The number of this VM's requests at a target changed. */
  onLoad(tracked: TrackedServiceTarget): void;
  /** Whether an incarnation itself said that it leaves; its entries don't lift that. */
  hasAnnouncedLeaving(id: string): boolean;
}
