/** A target with its load and health, and its changes, as plain data. */
import type { Millis, ServiceTarget } from '@limelead/types';
import type { TargetHealth, TargetObservation } from './target-health.js';

/** One incarnation of a target with its load and health. */
export interface TrackedServiceTarget {
  target: ServiceTarget;
  /** Hash of the id; spreads sessions over targets. */
  hash: number;
  health: TargetHealth;
  /** Requests of this VM in flight. */
  inFlight: number;
  /** Number of them whose prompts are being read. */
  reading: number;
  /**
   * Usual prompts by which those of this VM are longer: a prompt of three usual lengths adds two.
   */
  extraReading?: number;
  /** Requests of other VMs in flight, reported or advised. */
  peerRequests: number;
  /** Number of them whose prompts are being read. */
  peerReading: number;
  /** When a prompt was last known to be read there; 0 for never. */
  lastReadingAtMs: Millis;
  /** Replicas of this VM's runs. */
  replicas: number;
  /** Replicas of other VMs' runs, reported or advised. */
  peerReplicas: number;
}

/** A change of the directory. */
export type TargetChange = { kind: 'put'; target: ServiceTarget } | { kind: 'gone'; id: string };

/** Effect of a change, for the log. */
export type TargetNotice =
  | { kind: 'joined'; target: ServiceTarget }
  | { kind: 'leaving'; target: ServiceTarget }
  | { kind: 'gone'; target: ServiceTarget };

/** How a run lost its target: the connection broke, or nothing arrived on it. */
export type LossCause = 'broken' | 'silent';

/**
 * A loss that VMs report to each other: the target seems down, or another incarnation has its
 * address.
 */
export type TargetLoss = Extract<TargetObservation['kind'], 'lost' | 'replaced'>;

/** Callbacks of a directory. */
export interface TargetDirectoryEvents {
  onNotice(notice: TargetNotice): void;
  /** This VM observed the loss of a target. */
  onLost(target: ServiceTarget, loss: TargetLoss): void;
  /** The load of this VM at a target changed. */
  onLoad(tracked: TrackedServiceTarget): void;
  /** Whether an incarnation announced that it leaves; a registry entry does not revoke that. */
  hasAnnouncedLeaving(id: string): boolean;
}
