/**
 * News of lost targets, spread from peer to peer. When a failure domain goes,
 * many targets are found lost by many VMs at once; what is found within a moment
 * is told together, and each target only once in a while.
 */
import type { TargetLoss } from '@limelead/track-service-targets';
import { RecentTimes, type Clock, type Timers } from '@limelead/types';
import type { LostTargets, PeerId } from './types.js';

/** A target told as lost again within this time is no news, in milliseconds. */
const NEWS_MS = 600;
/** Losses found within this time are told together, in milliseconds. */
const GATHER_MS = 10;

/** What the news need. */
export interface LossNewsOptions {
  clock: Clock;
  timers: Timers;
  /** Peers that are told. */
  listPeers(): PeerId[];
  tell(peer: PeerId, targets: LostTargets): void;
}

interface DueLoss {
  target: string;
  loss: TargetLoss;
  /** The peer that told this VM; undefined for this VM itself. */
  from: PeerId | undefined;
}

/** Gathers losses and tells them. */
export default class LossNews {
  private readonly told = new RecentTimes(NEWS_MS);
  private due: DueLoss[] = [];

  constructor(private readonly options: LossNewsOptions) {}

  /** Takes a loss; true where it is news, which is then passed on. */
  take(target: string, loss: TargetLoss, from?: PeerId): boolean {
    const now = this.options.clock.now();
    const key = `${loss} ${target}`;
    if (this.told.ageMs(key, now) !== undefined) {
      return false;
    }
    this.told.record(key, now);
    if (this.due.length === 0) {
      this.options.timers.after(GATHER_MS, () => this.tellAll());
    }
    this.due.push({ target, loss, from });
    return true;
  }

  private tellAll(): void {
    const { due } = this;
    this.due = [];
    for (const peer of this.options.listPeers()) {
      const news = due.filter(({ from }) => from !== peer);
      if (news.length > 0) {
        this.options.tell(peer, {
          targets: listTargets(news, 'lost'),
          replaced: listTargets(news, 'replaced'),
        });
      }
    }
  }
}

function listTargets(losses: DueLoss[], wanted: TargetLoss): string[] {
  return losses.filter(({ loss }) => loss === wanted).map(({ target }) => target);
}
