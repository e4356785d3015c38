/**
 * Publishes lost targets to peers. The loss of a failure domain lets many VMs detect many losses at
 * once, so losses are batched and each is published only once within some time.
 */
import type { TargetLoss } from '@limelead/track-service-targets';
import { RecentTimes, type Clock, type Timers } from '@limelead/types';
import type { LostTargets, PeerId } from './types.js';

/** A loss of the same target within this time is a duplicate, in milliseconds. */
const DEDUPLICATE_MS = 600;
/** Losses detected within this time are sent together, in milliseconds. */
const BATCH_MS = 10;

/** Dependencies of `LossPublisher`. */
export interface LossPublisherOptions {
  clock: Clock;
  timers: Timers;
  /** Peers that receive losses. */
  listPeers(): PeerId[];
  send(peer: PeerId, targets: LostTargets): void;
}

interface PendingLoss {
  target: string;
  loss: TargetLoss;
  /** The peer that reported the loss; undefined if this VM detected it. */
  from: PeerId | undefined;
}

/** Batches losses and sends them to each peer. */
export default class LossPublisher {
  private readonly recent = new RecentTimes(DEDUPLICATE_MS);
  private pending: PendingLoss[] = [];

  constructor(private readonly options: LossPublisherOptions) {}

  /** Records a loss for publication; returns false for a recent duplicate. */
  recordLoss(target: string, loss: TargetLoss, from?: PeerId): boolean {
    const now = this.options.clock.now();
    const key = `${loss} ${target}`;
    if (this.recent.ageMs(key, now) !== undefined) {
      return false;
    }
    this.recent.record(key, now);
    if (this.pending.length === 0) {
      this.options.timers.after(BATCH_MS, () => this.publishPending());
    }
    this.pending.push({ target, loss, from });
    return true;
  }

  private publishPending(): void {
    const { pending } = this;
    this.pending = [];
    for (const peer of this.options.listPeers()) {
      const losses = pending.filter(({ from }) => from !== peer);
      if (losses.length > 0) {
        this.options.send(peer, {
          targets: filterTargets(losses, 'lost'),
          replaced: filterTargets(losses, 'replaced'),
        });
      }
    }
  }
}

function filterTargets(pendingLosses: PendingLoss[], kind: TargetLoss): string[] {
  return pendingLosses.filter(({ loss }) => loss === kind).map(({ target }) => target);
}
