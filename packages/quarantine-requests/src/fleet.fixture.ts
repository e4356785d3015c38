/** Guards of a whole fleet on a clock of its own, linked as gossip links them, for the tests of this package. */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type GuardedRequest from './guarded-request.js';
import { isEmptyNews } from './news.js';
import RequestGuard from './request-guard.js';

const PEERS = 8;
/** Time of news on one link, at least and at most. */
const LINK_MS = 1;
const SLOW_LINK_MS = 5;
const SERVICE = 'llm';
/** Time until a target refuses a connection. */
const REFUSES_AFTER_MS = 3;

/** How a target answers a run. */
export interface Outcome {
  kind: 'ends-target' | 'resets' | 'answers';
  afterMs: number;
}

/** One VM's guard with what it heard. */
interface Vm {
  guard: RequestGuard;
  peers: Set<number>;
}

/** A fleet with as many targets as are needed. */
export default class Fleet {
  now = 0;
  /** When each run was sent, with its request. */
  readonly arrivals: { path: string; atMs: number }[] = [];
  readonly ends: { path: string; atMs: number }[] = [];
  messages = 0;
  readonly proved: string[] = [];
  private readonly due = new Map<number, (() => void)[]>();
  private readonly generator;
  private readonly vms: Vm[];
  private readonly ended = new Set<string>();
  private targets = 0;

  constructor(size: number, seed: number) {
    this.generator = xoroshiro128plus(seed);
    this.vms = Array.from({ length: size }, (_, id) => ({
      guard: this.createGuard(id),
      peers: new Set<number>(),
    }));
    for (let id = 0; id < size; id += 1) {
      while ((this.vms[id]?.peers.size ?? size) < Math.min(PEERS, size - 1)) {
        this.link(id, this.draw(size));
      }
    }
  }

  get size(): number {
    return this.vms.length;
  }

  draw(below: number): number {
    return Math.floor(uniformFloat64(this.generator) * below);
  }

  at(atMs: number, run: () => void): void {
    const due = this.due.get(Math.ceil(atMs)) ?? [];
    due.push(run);
    this.due.set(Math.ceil(atMs), due);
  }

  /** Sends a request at one VM, again after each break as a stream is, until it has an answer. */
  send(vm: number, path: string, decide: () => Outcome, mostRuns = Infinity): Promise<string> {
    return new Promise((resolve) => {
      const guarded = this.guardOf(vm).begin({
        request: { organisation: 'o', host: 'h', method: 'POST', path, body: Buffer.alloc(0) },
        ...{ route: 'r', requestId: 'id', service: SERVICE },
        onQuarantined: () => finish('quarantined'),
      });
      let runs = 0;
      const finish = (outcome: string): void => {
        guarded.close();
        resolve(outcome);
      };
      const next = (): void => {
        guarded.ask((admission) => {
          if (admission === 'refuse' || runs === mostRuns) {
            finish(admission === 'refuse' ? 'quarantined' : 'given-up');
            return;
          }
          runs += 1;
          this.run(guarded, path, decide(), () => guarded.whenKnown(next), finish);
        });
      };
      next();
    });
  }

  /** Plays millisecond by millisecond; what waits for promises goes on in between. */
  async playUntil(untilMs: number): Promise<void> {
    for (; this.now <= untilMs; this.now += 1) {
      for (let run = this.due.get(this.now)?.shift(); run; run = this.due.get(this.now)?.shift()) {
        run();
        await Promise.resolve();
      }
      this.due.delete(this.now);
      await new Promise((resolve) => setImmediate(resolve));
    }
  }

  private run(
    guarded: GuardedRequest,
    path: string,
    { kind, afterMs }: Outcome,
    onBroken: () => void,
    finish: (outcome: string) => void,
  ): void {
    const startedAtMs = this.now;
    const target = `t${(this.targets += 1)}`;
    this.arrivals.push({ path, atMs: startedAtMs });
    this.at(this.now + afterMs, () => {
      if (kind === 'answers') {
        guarded.noteHarmless();
        finish('answered');
        return;
      }
      if (kind === 'ends-target') {
        this.ended.add(target);
        this.ends.push({ path, atMs: this.now });
      }
      guarded.noteBroken(target, startedAtMs, this.now);
      onBroken();
    });
  }

  private guardOf(vm: number): RequestGuard {
    const guard = this.vms[vm]?.guard;
    if (guard === undefined) {
      throw new RangeError(`no VM ${vm}`);
    }
    return guard;
  }

  private link(a: number, b: number): void {
    if (a !== b) {
      this.vms[a]?.peers.add(b);
      this.vms[b]?.peers.add(a);
    }
  }

  private createGuard(id: number): RequestGuard {
    return new RequestGuard({
      clock: { now: () => this.now },
      timers: {
        after: (milliseconds, run) => {
          let isCancelled = false;
          this.at(this.now + milliseconds, () => isCancelled || run());
          return () => (isCancelled = true);
        },
      },
      random: { next: () => uniformFloat64(this.generator) },
      log: { write: () => undefined },
      metrics: { count: () => undefined },
      countVms: () => this.size,
      hasEnded: (target) =>
        new Promise((resolve) =>
          this.at(this.now + REFUSES_AFTER_MS, () => resolve(this.ended.has(target))),
        ),
      wasHeardSince: (target) => !this.ended.has(target),
      tell: (news, from) => {
        if (isEmptyNews(news)) {
          return;
        }
        for (const peer of this.vms[id]?.peers ?? []) {
          if (String(peer) !== from) {
            this.messages += 1;
            const travelMs = LINK_MS + this.draw(SLOW_LINK_MS - LINK_MS);
            this.at(this.now + travelMs, () => this.guardOf(peer).hear(news, String(id)));
          }
        }
      },
      onProved: (request) => {
        this.proved.push(request);
        return Promise.resolve();
      },
      onRefuted: () => undefined,
    });
  }
}
