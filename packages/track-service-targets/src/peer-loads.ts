/**
 * Requests that other VMs have under way at targets, as far as they told, and those
 * that this VM has just advised them to send. An advised request counts from the
 * advice on, so that two VMs that ask at the same moment are not sent to one target.
 */
import type { Clock, Millis } from '@limelead/types';

/**
 * Time after which an advised request that its VM never told of counts no longer, in
 * milliseconds: a VM tells its load within 0.1 s of the advice, or it is lost.
 */
const ADVISED_MS = 1_000;

/** Requests of one VM, or of several, at one target. */
export interface PeerLoad {
  requests: number;
  /** Those of them that read their prompts. */
  reading: number;
  /** Copies of runs that are kept there. */
  copies: number;
}

/** Load of one VM at one target, with what its runs tell of the target's pace. */
export interface PacedLoad extends PeerLoad {
  /** Times the usual time that pieces take there, 1 or more. */
  slowness: number;
}

/** What one VM told last. */
export interface ToldLoad {
  targets: ReadonlyMap<string, PacedLoad>;
  /** Number of the last advice that this load already follows; 0 for none. */
  advice: number;
}

/** A request that a VM was advised to send. */
export interface AdvisedRequest {
  peer: string;
  /** Numbers of one VM's questions rise. */
  advice: number;
  target: string;
  /** Where a copy of the run may stand. */
  copyTo?: string;
}

const NO_LOAD: PeerLoad = { requests: 0, reading: 0, copies: 0 };
/** What an advised request brings where it is sent, and where its copy stands. */
const ADVISED_RUN: PeerLoad = { requests: 1, reading: 1, copies: 0 };
const ADVISED_COPY: PeerLoad = { requests: 0, reading: 0, copies: 1 };

/** Adds up the load of all other VMs. */
export default class PeerLoads {
  private readonly told = new Map<string, ReadonlyMap<string, PeerLoad>>();
  private readonly totals = new Map<string, PeerLoad>();
  private advised: (AdvisedRequest & { atMs: Millis })[] = [];

  /** @param onChange called with each target whose total changed */
  constructor(
    private readonly clock: Clock,
    private readonly onChange: (target: string, total: PeerLoad) => void,
  ) {}

  /** The load of all other VMs at one target. */
  totalOf(target: string): PeerLoad {
    return this.totals.get(target) ?? NO_LOAD;
  }

  /** Takes what a VM has under way; no targets once it is gone. */
  take(peer: string, { targets, advice }: ToldLoad): void {
    const before = this.told.get(peer);
    if (targets.size === 0) {
      this.told.delete(peer);
    } else {
      this.told.set(peer, targets);
    }
    before?.forEach((load, target) => this.add(target, load, -1));
    targets.forEach((load, target) => this.add(target, load, 1));
    this.dropAdvised((request) => request.peer === peer && request.advice <= advice);
  }

  /** A VM was advised to send a request, which will read its prompt. */
  noteAdvised(request: AdvisedRequest): void {
    const now = this.clock.now();
    this.dropAdvised(({ atMs }) => now - atMs >= ADVISED_MS);
    this.advised.push({ ...request, atMs: now });
    this.addAdvised(request, 1);
  }

  private dropAdvised(isOver: (request: AdvisedRequest & { atMs: Millis }) => boolean): void {
    const over = this.advised.filter(isOver);
    if (over.length > 0) {
      this.advised = this.advised.filter((request) => !over.includes(request));
      over.forEach((request) => this.addAdvised(request, -1));
    }
  }

  private addAdvised({ target, copyTo }: AdvisedRequest, sign: 1 | -1): void {
    this.add(target, ADVISED_RUN, sign);
    if (copyTo !== undefined) {
      this.add(copyTo, ADVISED_COPY, sign);
    }
  }

  private add(target: string, load: PeerLoad, sign: 1 | -1): void {
    const total = this.totalOf(target);
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
}
