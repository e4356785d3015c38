/**
 * Load of other VMs at each target, as they reported it, plus the requests that this VM advised
 * them to send. Advised requests count at once, so that two VMs that ask at the same moment are not
 * sent to the same target.
 */
import type { Clock, Millis } from '@limelead/types';
import type { PeerTokens } from './held-tokens.js';

/**
 * An advised request that its VM never reports stops counting after this time, in milliseconds. A
 * VM reports its load within 0.1 s of the advice unless the message is lost.
 */
const ADVISED_REQUEST_TTL_MS = 1_000;

/** Load of one or more VMs at one target. */
export interface PeerLoad {
  /** Requests in flight. */
  requests: number;
  /** Number of them whose prompts are being read. */
  reading: number;
  /** Replicas kept there. */
  copies: number;
  /** Tokens of memory that they hold; undefined if a VM does not report them. */
  tokens?: number;
}

/** Load of one VM at one target, with the slowness that its runs measured. */
export interface ReportedTargetLoad extends PeerLoad {
  /** Duration of pieces there as a multiple of the usual duration, at least 1. */
  slowness: number;
}

/** The load that a VM reported last. */
export interface PeerLoadUpdate {
  targets: ReadonlyMap<string, ReportedTargetLoad>;
  /** Number of the last advice that this load includes; 0 for none. */
  advice: number;
}

/** A request that a VM was advised to send. */
export interface AdvisedRequest {
  peer: string;
  /** Number of the advice; it increases with each question of the VM. */
  advice: number;
  target: string;
  /** Target that may keep a replica of the run. */
  copyTo?: string;
  /** Tokens of memory that the run needs, and its replica. */
  tokens?: number;
}

const NO_TOKENS: PeerTokens = { tokens: 0, uncounted: 0 };
const NO_LOAD: PeerLoad = { requests: 0, reading: 0, copies: 0 };
/** Load of an advised request at its target, and of its replica. */
const ADVISED_REQUEST_LOAD: PeerLoad = { requests: 1, reading: 1, copies: 0 };
const ADVISED_REPLICA_LOAD: PeerLoad = { requests: 0, reading: 0, copies: 1 };

/** Sums the load of all other VMs per target. */
export default class PeerLoadTable {
  private readonly loadsByPeer = new Map<string, ReadonlyMap<string, PeerLoad>>();
  private readonly totals = new Map<string, PeerLoad>();
  private readonly tokens = new Map<string, PeerTokens>();
  private advised: (AdvisedRequest & { atMs: Millis })[] = [];

  /** @param onChange called with each target whose total changed */
  constructor(
    private readonly clock: Clock,
    private readonly onChange: (target: string, total: PeerLoad) => void,
  ) {}

  /** Total load of all other VMs at a target. */
  getTotal(target: string): PeerLoad {
    return this.totals.get(target) ?? NO_LOAD;
  }

  /** Tokens that all other VMs hold at a target. */
  getTokens(target: string): PeerTokens {
    return this.tokens.get(target) ?? NO_TOKENS;
  }

  /** Replaces the load that a VM reported; empty once the VM is gone. */
  applyUpdate(peer: string, { targets, advice }: PeerLoadUpdate): void {
    const before = this.loadsByPeer.get(peer);
    if (targets.size === 0) {
      this.loadsByPeer.delete(peer);
    } else {
      this.loadsByPeer.set(peer, targets);
    }
    before?.forEach((load, target) => this.add(target, load, -1));
    targets.forEach((load, target) => this.add(target, load, 1));
    this.dropAdvised((request) => request.peer === peer && request.advice <= advice);
  }

  /** Counts a request that a VM was advised to send, as one that reads its prompt. */
  recordAdvisedRequest(request: AdvisedRequest): void {
    const now = this.clock.now();
    this.dropAdvised(({ atMs }) => now - atMs >= ADVISED_REQUEST_TTL_MS);
    this.advised.push({ ...request, atMs: now });
    this.addAdvised(request, 1);
  }

  private dropAdvised(isExpired: (request: AdvisedRequest & { atMs: Millis }) => boolean): void {
    const expired = this.advised.filter(isExpired);
    if (expired.length > 0) {
      this.advised = this.advised.filter((request) => !expired.includes(request));
      expired.forEach((request) => this.addAdvised(request, -1));
    }
  }

  private addAdvised({ target, copyTo, tokens }: AdvisedRequest, sign: 1 | -1): void {
    this.add(target, { ...ADVISED_REQUEST_LOAD, tokens }, sign);
    if (copyTo !== undefined) {
      this.add(copyTo, { ...ADVISED_REPLICA_LOAD, tokens }, sign);
    }
  }

  private add(target: string, load: PeerLoad, sign: 1 | -1): void {
    this.addTokens(target, load, sign);
    const total = this.getTotal(target);
    const next: PeerLoad = {
      requests: total.requests + sign * load.requests,
      reading: total.reading + sign * load.reading,
      copies: total.copies + sign * load.copies,
    };
    if (next.requests === 0 && next.reading === 0 && next.copies === 0) {
      this.totals.delete(target);
    } else {
      this.totals.set(target, next);
    }
    this.onChange(target, next);
  }

  private addTokens(target: string, load: PeerLoad, sign: 1 | -1): void {
    const total = this.getTokens(target);
    const uncounted = load.tokens === undefined ? load.requests + load.copies : 0;
    const next: PeerTokens = {
      tokens: total.tokens + sign * (load.tokens ?? 0),
      uncounted: total.uncounted + sign * uncounted,
    };
    if (next.tokens === 0 && next.uncounted === 0) {
      this.tokens.delete(target);
    } else {
      this.tokens.set(target, next);
    }
  }
}
