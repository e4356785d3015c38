/** Publishes the open requests of this VM at each target when they change. */
import type { Timers } from '@limelead/types';
import type { PeerId, TargetLoad } from './types.js';

/** Changes of load within this time are sent together, in milliseconds. */
const BATCH_MS = 15;
const NO_LOAD = '[]';

/** Dependencies of `LoadPublisher`. */
export interface LoadPublisherOptions {
  timers: Timers;
  /** Returns the load to send to a peer. */
  readLoadFor(peer: PeerId): TargetLoad[];
  /** Linked peers that receive the load. */
  listPeers(): PeerId[];
  send(peer: PeerId, targets: TargetLoad[]): void;
}

/** Batches changes of load and sends them to each peer once. */
export default class LoadPublisher {
  /** The load last sent to each peer, serialised for comparison. */
  private readonly sent = new Map<PeerId, string>();
  private isScheduled = false;

  constructor(private readonly options: LoadPublisherOptions) {}

  /** Schedules publication of a changed load. */
  onLoadChanged(): void {
    if (this.isScheduled) {
      return;
    }
    this.isScheduled = true;
    this.options.timers.after(BATCH_MS, () => {
      this.isScheduled = false;
      this.publishChanges();
    });
  }

  /**
   * Sends the load to listed peers with an outdated one, and an empty load to peers that are no
   * longer listed.
   */
  publishChanges(): void {
    const listed = new Set(this.options.listPeers());
    for (const peer of [...this.sent.keys()].filter((id) => !listed.has(id))) {
      this.sendIfChanged(peer, []);
      this.sent.delete(peer);
    }
    listed.forEach((peer) => this.sendIfChanged(peer, this.options.readLoadFor(peer)));
  }

  /** Forgets what was sent to a lost peer, which has no state after it links again. */
  forgetPeer(peer: PeerId): void {
    this.sent.delete(peer);
  }

  private sendIfChanged(peer: PeerId, targets: TargetLoad[]): void {
    const text = JSON.stringify(targets);
    if ((this.sent.get(peer) ?? NO_LOAD) !== text) {
      this.sent.set(peer, text);
      this.options.send(peer, targets);
    }
  }
}
