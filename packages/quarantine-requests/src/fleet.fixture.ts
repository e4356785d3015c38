/** Simulates the guards of a fleet of VMs with gossip links on a virtual clock. */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type GuardedRequest from './guarded-request.js';
import { isEmptyQuarantineUpdate } from './quarantine-update.js';
import RequestGuard from './request-guard.js';

const PEERS = 8;
/** Range of an update's delay on one link. */
const MIN_LINK_DELAY_MS = 1;
const MAX_LINK_DELAY_MS = 5;
const SERVICE = 'llm';
/** Number of targets, as far as rates of their ends are concerned. */
const TARGETS = 17;
/** Time until a check of a target finds whether it crashed. */
const CRASH_CHECK_MS = 3;

/** How a target handles a run. */
export interface Outcome {
  kind: 'crashes-target' | 'resets' | 'answers';
  afterMs: number;
  /** Software version of the target. */
  version?: string;
}

/** A VM's guard and its gossip peers. */
interface Vm {
  guard: RequestGuard;
  peers: Set<number>;
}

/** A fleet in which every run gets a target of its own. */
export default class Fleet {
  now = 0;
  /** Time and path of each run. */
  readonly arrivals: { path: string; atMs: number }[] = [];
  readonly crashes: { path: string; atMs: number }[] = [];
  messageCount = 0;
  readonly quarantined: string[] = [];
  private readonly scheduled = new Map<number, (() => void)[]>();
  private readonly generator;
  private readonly vms: Vm[];
  private readonly crashedTargets = new Set<string>();
  private targetCount = 0;

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

  schedule(atMs: number, run: () => void): void {
    const due = this.scheduled.get(Math.ceil(atMs)) ?? [];
    due.push(run);
    this.scheduled.set(Math.ceil(atMs), due);
  }

  /** Sends a request at one VM and retries after each break until it has an answer. */
  send(vm: number, path: string, decide: () => Outcome, maxRuns = Infinity): Promise<string> {
    return new Promise((resolve) => {
      const guarded = this.guardOf(vm).guardRequest({
        request: { organisation: 'o', host: 'h', method: 'POST', path, body: Buffer.alloc(0) },
        ...{ route: 'r', requestId: 'id' },
        onQuarantined: () => finish('quarantined'),
      });
      let runs = 0;
      const finish = (outcome: string): void => {
        guarded.close();
        resolve(outcome);
      };
      const next = (): void => {
        guarded.requestAdmission((admission) => {
          if (admission === 'refuse' || runs === maxRuns) {
            finish(admission === 'refuse' ? 'quarantined' : 'given-up');
            return;
          }
          runs += 1;
          this.run(guarded, path, decide(), () => guarded.afterChecks(next), finish);
        });
      };
      next();
    });
  }

  /** Advances millisecond by millisecond, and lets promises settle in between. */
  async runUntil(untilMs: number): Promise<void> {
    for (; this.now <= untilMs; this.now += 1) {
      for (
        let run = this.scheduled.get(this.now)?.shift();
        run;
        run = this.scheduled.get(this.now)?.shift()
      ) {
        run();
        await Promise.resolve();
      }
      this.scheduled.delete(this.now);
      await new Promise((resolve) => setImmediate(resolve));
    }
  }

  private run(
    guarded: GuardedRequest,
    path: string,
    { kind, afterMs, version }: Outcome,
    onBroken: () => void,
    finish: (outcome: string) => void,
  ): void {
    const target = `t${(this.targetCount += 1)}`;
    this.arrivals.push({ path, atMs: this.now });
    const run = guarded.startRun({ id: target, service: SERVICE, version });
    this.schedule(this.now + afterMs, () => {
      if (kind === 'answers') {
        run.recordAnswer(true);
        finish('answered');
        return;
      }
      if (kind === 'crashes-target') {
        this.crashedTargets.add(target);
        this.crashes.push({ path, atMs: this.now });
      }
      run.recordBroken();
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
          this.schedule(this.now + milliseconds, () => isCancelled || run());
          return () => (isCancelled = true);
        },
      },
      random: { next: () => uniformFloat64(this.generator) },
      log: { write: () => undefined },
      metrics: { count: () => undefined },
      countVms: () => this.size,
      countTargets: () => TARGETS,
      checkTarget: (target) =>
        new Promise((resolve) =>
          this.schedule(this.now + CRASH_CHECK_MS, () =>
            resolve(this.crashedTargets.has(target) ? 'ended' : 'running'),
          ),
        ),
      hasEnded: (target) => Promise.resolve(this.crashedTargets.has(target)),
      hasRespondedSince: (target) => !this.crashedTargets.has(target),
      publish: (update, from) => {
        if (isEmptyQuarantineUpdate(update)) {
          return;
        }
        for (const peer of this.vms[id]?.peers ?? []) {
          if (String(peer) !== from) {
            this.messageCount += 1;
            const delayMs = MIN_LINK_DELAY_MS + this.draw(MAX_LINK_DELAY_MS - MIN_LINK_DELAY_MS);
            this.schedule(this.now + delayMs, () =>
              this.guardOf(peer).onPeerUpdate(update, String(id)),
            );
          }
        }
      },
      storeQuarantine: (request) => {
        this.quarantined.push(request);
        return Promise.resolve();
      },
      onQuarantineRefuted: () => undefined,
    });
  }
}
