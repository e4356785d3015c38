/** Tells peers the requests of this VM under way at each target, where they changed. */
import type { Millis, Timers } from '@limelead/types';
import { FULL_MESH_VMS } from './choose-peers.js';
import type { PeerId, TargetLoad } from './types.js';

/** Changes of load within this time are told together in a fleet that is a full mesh. */
const GATHER_MS = 15;
const NO_LOAD = '[]';

/** What the news need. */
export interface LoadNewsOptions {
  timers: Timers;
  countVms(): number;
  readLoad(): TargetLoad[];
  /** Peers that are linked now. */
  listPeers(): PeerId[];
  tell(peer: PeerId, targets: TargetLoad[]): void;
}

/** Gathers changes of load and tells them. */
export default class LoadNews {
  /** The load that each peer was told last, as text to compare with. */
  private readonly told = new Map<PeerId, string>();
  private isDue = false;

  constructor(private readonly options: LoadNewsOptions) {}

  /** The load changed; all peers are told soon. */
  note(): void {
    if (this.isDue) {
      return;
    }
    this.isDue = true;
    this.options.timers.after(this.gatherMs, () => {
      this.isDue = false;
      this.tellTo(this.options.listPeers());
    });
  }

  /** Tells those of the peers that know another load. */
  tellTo(peers: PeerId[]): void {
    const targets = this.options.readLoad();
    const text = JSON.stringify(targets);
    for (const peer of peers) {
      if ((this.told.get(peer) ?? NO_LOAD) !== text) {
        this.told.set(peer, text);
        this.options.tell(peer, targets);
      }
    }
  }

  /** A peer is lost; one that comes back knows nothing. */
  forget(peer: PeerId): void {
    this.told.delete(peer);
  }

  /** In a large fleet the load of one VM weighs little, and may be told later. */
  private get gatherMs(): Millis {
    return GATHER_MS * Math.max(1, this.options.countVms() / FULL_MESH_VMS);
  }
}
