/**
 * Tells peers which services this VM does not reach, in the message of lost targets. Older releases
 * ignore the field.
 */
import type { ExchangeMessage, ExchangeMessageOf } from './messages.js';
import type { PeerExchangeOptions, PeerId } from './types.js';

/** Dependencies of `ReachExchange`. */
export interface ReachExchangeOptions extends Pick<PeerExchangeOptions, 'readUnreached'> {
  self: PeerId;
  listLinkedPeers(): PeerId[];
  broadcast(message: ExchangeMessage, peers: PeerId[]): void;
}

/** The services out of reach of each linked VM. */
export default class ReachExchange {
  private readonly unreachedAt = new Map<PeerId, ReadonlySet<string>>();

  constructor(private readonly options: ReachExchangeOptions) {}

  /** Tells all linked peers the present state. */
  publish(): void {
    this.send(this.options.listLinkedPeers());
  }

  /** Tells a newly linked peer, which assumes that everything is reached. */
  onLinked(peer: PeerId): void {
    if (this.options.readUnreached().length > 0) {
      this.send([peer]);
    }
  }

  onPeerLost(peer: PeerId): void {
    this.unreachedAt.delete(peer);
  }

  onMessage(peer: PeerId, { unreached }: ExchangeMessageOf<'lost'>): void {
    if (unreached !== undefined) {
      this.unreachedAt.set(peer, new Set(unreached));
    }
  }

  /** Whether a VM, which may be this one, reaches the service as far as it told. */
  isReachedBy(vm: PeerId, service: string): boolean {
    const { self, readUnreached } = this.options;
    return vm === self
      ? !readUnreached().includes(service)
      : this.unreachedAt.get(vm)?.has(service) !== true;
  }

  /** Those of the VMs that reach the service; all of them if none does. */
  preferReached(vms: readonly PeerId[], service: string): readonly PeerId[] {
    const reached = vms.filter((vm) => this.isReachedBy(vm, service));
    return reached.length > 0 ? reached : vms;
  }

  private send(peers: PeerId[]): void {
    const unreached = this.options.readUnreached();
    this.options.broadcast({ kind: 'lost', targets: [], replaced: [], unreached }, peers);
  }
}
