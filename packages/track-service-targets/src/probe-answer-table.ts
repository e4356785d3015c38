/** Latest answers of targets to probes of this VM and of its peers. */
import type { Millis } from '@limelead/types';

/** An answer to a probe of a peer. */
export interface PeerProbeAnswer {
  target: string;
  /** Time at which the peer sent the probe. */
  atMs: Millis;
}

interface Answers {
  ownAtMs: Millis;
  peerAtMs: Millis;
}

/** Keeps the time of the latest answered probe of each target. */
export default class ProbeAnswerTable {
  private readonly answers = new Map<string, Answers>();

  /** Records that a target answered the probe that this VM sent at that time. */
  recordOwn(target: string, atMs: Millis): void {
    const known = this.of(target);
    this.answers.set(target, { ...known, ownAtMs: Math.max(known.ownAtMs, atMs) });
  }

  /** Records that a target answered the probe that a peer sent at that time. */
  recordPeer({ target, atMs }: PeerProbeAnswer): void {
    const known = this.of(target);
    this.answers.set(target, { ...known, peerAtMs: Math.max(known.peerAtMs, atMs) });
  }

  /** Milliseconds since this VM sent the latest probe that was answered; Infinity without one. */
  ownAgeMs(target: string, now: Millis): Millis {
    return now - this.of(target).ownAtMs;
  }

  /** Milliseconds since a peer sent the latest probe that was answered; Infinity without one. */
  peerAgeMs(target: string, now: Millis): Millis {
    return now - this.of(target).peerAtMs;
  }

  /** Drops the state of a removed target. */
  forget(target: string): void {
    this.answers.delete(target);
  }

  private of(target: string): Answers {
    return this.answers.get(target) ?? { ownAtMs: -Infinity, peerAtMs: -Infinity };
  }
}
