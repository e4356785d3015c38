/**
 * Replays domain losses on the retry budgets of a whole fleet, with the rules before and after
 * priorities.
 */
import { chooseLinks } from '@limelead/track-members';
import type { Millis, Random, RetryNeed } from '@limelead/types';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { PollingVm, PriorityVm } from './retry-replay-vms.fixture.js';

/** Limits of the retry budget. */
export const LIMITS = { ratio: 0.8, slack: 150, windowMs: 10_000 };
const STREAM_MS = 6_000;
/** Time from the start of a stream to its first piece; also that of a resume without replica. */
const PREFILL_MS = 1_030;
const REPLICA_RESUME_MS = 50;
export const MAX_PAUSE_MS = 700;
const LOSSES_AT_MS = [14_000, 17_300, 20_600];
const END_MS = 34_000;
/** Share of attempts at a target that refuses connections. */
const UNREACHABLE_SHARE = 0.3;
const LOST_MESSAGES = 0.02;

export interface ReplayPlan {
  vms: number;
  domains: number;
  streamsPerSecond: number;
  /** Moves of single running streams for other reasons than domain losses. */
  otherMovesPerSecond: number;
  oneWayMs: number;
  seed: number;
  rule: 'polling' | 'priority';
}

export interface ReplayResult {
  /** Breaks of streams that had written, and those of them that resumed within the allowed pause. */
  writtenBreaks: number;
  inTime: number;
  /** The same for streams with a replica, which alone can resume in time. */
  replicaBreaks: number;
  replicaInTime: number;
  /** Number of times that a retry was asked for and not granted at once. */
  refusals: number;
  messages: number;
  /** Median time from the break of a stream to its retry, of those that were not granted at once. */
  medianWaitMs: number;
  /** Largest share of the allowed retries that was used in any window. */
  maxUse: number;
}

/** A stream and where it runs. */
export interface Stream {
  vm: number;
  domain: number;
  startedAtMs: Millis;
  hasReplica: boolean;
}

/** A broken stream that needs a retry. */
export interface Break {
  stream: Stream;
  lastPieceAtMs: Millis;
  hasWritten: boolean;
}

/** Runs one plan; the same seed gives the same streams and losses for both rules. */
export default function replayDomainLosses(plan: ReplayPlan): ReplayResult {
  return new Replay(plan).run();
}

/** A fleet on a simulated clock. */
export class Replay {
  private nowMs = 0;
  private pending: { atMs: Millis; run: () => void }[] = [];
  private streams = new Set<Stream>();
  private readonly links: string[][] = [];
  private readonly waits: Millis[] = [];
  private readonly first: Millis[] = [];
  private readonly retries: Millis[] = [];
  private readonly traffic: Random;
  private readonly random: Random;
  private readonly result: ReplayResult = {
    ...{ writtenBreaks: 0, inTime: 0, replicaBreaks: 0, replicaInTime: 0 },
    ...{ refusals: 0, messages: 0, medianWaitMs: 0, maxUse: 0 },
  };
  private readonly vms: PollingVm[] | PriorityVm[];
  readonly clock = { now: () => this.nowMs };

  constructor(readonly plan: ReplayPlan) {
    this.traffic = createRandom(plan.seed);
    this.random = createRandom(plan.seed + 1_000);
    const ids = Array.from({ length: plan.vms }, (_, index) => index);
    this.vms =
      plan.rule === 'polling'
        ? ids.map((id) => new PollingVm(this, id))
        : ids.map((id) => new PriorityVm(this, id));
  }

  run(): ReplayResult {
    this.after(0, () => this.startStream());
    this.after(0, () => this.moveOne());
    LOSSES_AT_MS.forEach((atMs, index) =>
      this.after(atMs, () => this.loseDomain(index % this.plan.domains)),
    );
    for (let next = this.pending.shift(); next && next.atMs <= END_MS;) {
      this.nowMs = next.atMs;
      next.run();
      next = this.pending.shift();
    }
    const waits = this.waits.sort((a, b) => a - b);
    const medianWaitMs = waits[Math.floor(waits.length / 2)] ?? 0;
    return { ...this.result, medianWaitMs, maxUse: this.findMaxUse() };
  }

  after(delayMs: Millis, run: () => void): () => void {
    const event = { atMs: this.nowMs + delayMs, run };
    let index = this.pending.length;
    while (index > 0 && this.pending[index - 1]!.atMs > event.atMs) {
      index -= 1;
    }
    this.pending.splice(index, 0, event);
    return () => {
      event.run = () => undefined;
    };
  }

  next(): number {
    return this.random.next();
  }

  /** Delivers a message to a VM after its way and the time of a busy event loop, or loses it. */
  send(receive: () => void): void {
    this.result.messages += 1;
    if (this.next() >= LOST_MESSAGES) {
      this.after(this.plan.oneWayMs + this.next() * 3, receive);
    }
  }

  lendFrom(vm: number, needs: RetryNeed[], receive: (retries: number) => void): void {
    this.send(() => {
      const lent = this.vms[vm]!.lend(needs);
      if (lent > 0) {
        this.send(() => receive(lent));
      }
    });
  }

  /** Linked peers of a VM: those that it chose, and those that chose it. */
  listPeers(vm: number): string[] {
    const self = String(vm);
    const members = this.vms.map((_, id) => String(id));
    this.links[vm] ??= members.filter(
      (peer) =>
        peer !== self &&
        (chooseLinks(self, members).includes(peer) || chooseLinks(peer, members).includes(self)),
    );
    return this.links[vm];
  }

  recordRefusal(): void {
    this.result.refusals += 1;
  }

  recordWait(sinceMs: Millis): void {
    this.waits.push(this.nowMs - sinceMs);
  }

  recordRetry(): void {
    this.retries.push(this.nowMs);
  }

  isUnreachable(): boolean {
    return this.next() < UNREACHABLE_SHARE;
  }

  /** Called when a retry reached a target. */
  onResumed(broken: Break): void {
    const { stream, lastPieceAtMs, hasWritten } = broken;
    const resumeMs = stream.hasReplica && hasWritten ? REPLICA_RESUME_MS : PREFILL_MS;
    const isInTime = this.nowMs + resumeMs - lastPieceAtMs <= MAX_PAUSE_MS;
    this.result.inTime += hasWritten && isInTime ? 1 : 0;
    this.result.replicaInTime += hasWritten && stream.hasReplica && isInTime ? 1 : 0;
    stream.domain = Math.floor(this.next() * this.plan.domains);
    this.streams.add(stream);
  }

  private startStream(): void {
    const { vms, domains, streamsPerSecond } = this.plan;
    const pick = (count: number): number => Math.floor(this.traffic.next() * count);
    const stream: Stream = {
      vm: pick(vms),
      domain: pick(domains),
      startedAtMs: this.nowMs,
      hasReplica: this.traffic.next() < 0.7,
    };
    this.first.push(this.nowMs);
    this.vms[stream.vm]!.recordFirst();
    this.streams.add(stream);
    this.after(STREAM_MS, () => this.streams.delete(stream));
    const gapMs = -Math.log(1 - this.traffic.next()) * (1_000 / streamsPerSecond);
    this.after(gapMs, () => this.startStream());
  }

  private moveOne(): void {
    const running = [...this.streams];
    const stream = running[Math.floor(this.random.next() * running.length)];
    if (stream !== undefined) {
      this.break(stream, 240 + this.random.next() * 140);
    }
    const gapMs = -Math.log(1 - this.random.next()) * (1_000 / this.plan.otherMovesPerSecond);
    this.after(gapMs, () => this.moveOne());
  }

  /** Half of the targets close their connections, the others fall silent. */
  private loseDomain(domain: number): void {
    const lost = [...this.streams].filter((stream) => stream.domain === domain);
    lost.forEach((stream) => {
      const detectMs = this.random.next() < 0.5 ? 2 : 240 + this.random.next() * 140;
      this.streams.delete(stream);
      this.after(detectMs, () => this.break(stream, detectMs));
    });
  }

  private break(stream: Stream, sinceLastPieceMs: Millis): void {
    this.streams.delete(stream);
    const lastPieceAtMs = this.nowMs - sinceLastPieceMs;
    const hasWritten = lastPieceAtMs - stream.startedAtMs > PREFILL_MS;
    this.result.writtenBreaks += hasWritten ? 1 : 0;
    this.result.replicaBreaks += hasWritten && stream.hasReplica ? 1 : 0;
    this.vms[stream.vm]!.resume({ stream, lastPieceAtMs, hasWritten });
  }

  private findMaxUse(): number {
    const { ratio, slack, windowMs } = LIMITS;
    const countIn = (times: Millis[], endMs: Millis): number =>
      times.filter((atMs) => atMs <= endMs && atMs > endMs - windowMs).length;
    return Math.max(
      0,
      ...this.retries.map(
        (endMs) => countIn(this.retries, endMs) / (ratio * countIn(this.first, endMs) + slack),
      ),
    );
  }
}

function createRandom(seed: number): Random {
  const generator = xoroshiro128plus(seed);
  return { next: () => uniformFloat64(generator) };
}
