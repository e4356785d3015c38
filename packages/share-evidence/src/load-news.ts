/**
 * Tells the requests of this VM under way at each target, where they changed: to every
 * peer in a small fleet, and to the schedulers of a large one.
 */
import type { Timers } from '@limelead/types';
import type { PeerId, TargetLoad } from './types.js';

/** Changes of load within this time are told together, in milliseconds. */
const GATHER_MS = 15;
const NO_LOAD = '[]';

/** What the news need. */
export interface LoadNewsOptions {
  timers: Timers;
  /** The load that one peer should know. */
  readLoadFor(peer: PeerId): TargetLoad[];
  /** Peers that are told, of those that are linked now. */
  listPeers(): PeerId[];
  tell(peer: PeerId, targets: TargetLoad[]): void;
}

/** Gathers changes of load and tells them. */
export default class LoadNews {
  /** The load that each peer was told last, as text to compare with. */
  private readonly told = new Map<PeerId, string>();
  private isDue = false;

  constructor(private readonly options: LoadNewsOptions) {}

  /** The load changed; all listed peers are told soon. */
  note(): void {
    if (this.isDue) {
      return;
    }
    this.isDue = true;
    this.options.timers.after(GATHER_MS, () => {
      this.isDue = false;
      this.tellAll();
    });
  }

  /** Tells the listed peers that know another load, and takes it back from those no longer listed. */
  tellAll(): void {
    const listed = new Set(this.options.listPeers());
    for (const peer of [...this.told.keys()].filter((known) => !listed.has(known))) {
      this.tellIfNew(peer, []);
      this.told.delete(peer);
    }
    listed.forEach((peer) => this.tellIfNew(peer, this.options.readLoadFor(peer)));
  }

  /** A peer is lost; one that comes back knows nothing. */
  forget(peer: PeerId): void {
    this.told.delete(peer);
  }

  private tellIfNew(peer: PeerId, targets: TargetLoad[]): void {
    const text = JSON.stringify(targets);
    if ((this.told.get(peer) ?? NO_LOAD) !== text) {
      this.told.set(peer, text);
      this.options.tell(peer, targets);
    }
  }
}
