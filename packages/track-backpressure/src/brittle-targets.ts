/**
 * Targets that end if they reject too many requests a second, from responses and peers. What each
 * says is gossiped, since the VM that gives out the places at a target may send nothing there itself.
 */
import {
  createRateLimitedLog,
  type DecisionLog,
  type RateLimitedLog,
} from '@limelead/decision-log';
import type { Metrics } from '@limelead/metrics';
import type { Clock, DirectiveResponse, Millis } from '@limelead/types';

/** Time after the last response that says so, or word of a peer, for which a target is brittle. */
const BRITTLE_TTL_MS: Millis = 4_000;
/** Interval at which the state of a target is published while its responses say so. */
const PUBLISH_INTERVAL_MS: Millis = 1_000;

/** What a target said in a response to any VM. */
export interface BrittleUpdate {
  target: string;
  rejectionsPerSecond: number;
  /** Steady time of the response. */
  heardAtMs: Millis;
}

interface BrittleState extends BrittleUpdate {
  /** Time of the response that was published last. */
  publishedAtMs: Millis;
}

/** Dependencies of `BrittleTargets`. */
export interface BrittleTargetsOptions {
  clock: Clock;
  log: Pick<DecisionLog, 'write'>;
  metrics: Pick<Metrics, 'gauge'>;
  /** Sends updates to all peers except the one that they came from. */
  publishBrittle(updates: BrittleUpdate[], from?: string): void;
}

/** The brittle targets that one VM knows. */
export default class BrittleTargets {
  private readonly states = new Map<string, BrittleState>();
  private readonly logChange: RateLimitedLog;

  constructor(private readonly options: BrittleTargetsOptions) {
    const { clock, log, metrics } = options;
    this.logChange = createRateLimitedLog(log, clock, 'target-brittle');
    metrics.gauge('limelead_brittle_targets', () => this.list().length);
  }

  /** Rejections a second that the target survives; undefined if it is not brittle. */
  rejectionsPerSecond(target: string): number | undefined {
    const state = this.states.get(target);
    const isCurrent = state !== undefined && this.now - state.heardAtMs < BRITTLE_TTL_MS;
    return isCurrent ? state.rejectionsPerSecond : undefined;
  }

  /** The known states, for a newly linked peer. */
  list(): BrittleUpdate[] {
    this.forgetExpired();
    return [...this.states.values()].map(({ publishedAtMs: _, ...update }) => update);
  }

  onResponse({ target, sentAtMs, directives }: DirectiveResponse): void {
    const { brittleness } = directives;
    if (brittleness.kind === 'brittle') {
      const { rejectionsPerSecond } = brittleness;
      this.apply({ target, rejectionsPerSecond, heardAtMs: this.now });
    } else if (sentAtMs > (this.states.get(target)?.heardAtMs ?? Infinity)) {
      this.states.delete(target);
      this.logChange({ target, isBrittle: false, unreadable: readText(brittleness) });
    }
  }

  onPeerUpdate(vm: string, updates: BrittleUpdate[]): void {
    updates
      .filter(({ heardAtMs }) => this.now - heardAtMs < BRITTLE_TTL_MS)
      .forEach((update) => this.apply(update, vm));
  }

  private get now(): Millis {
    return this.options.clock.now();
  }

  private apply(update: BrittleUpdate, vm?: string): void {
    const { target, rejectionsPerSecond, heardAtMs } = update;
    const known = this.states.get(target);
    if (known !== undefined && known.heardAtMs >= heardAtMs) {
      return;
    }
    const isChanged = known?.rejectionsPerSecond !== rejectionsPerSecond;
    const publishedAtMs = known?.publishedAtMs ?? -Infinity;
    const isDue = isChanged || heardAtMs - publishedAtMs >= PUBLISH_INTERVAL_MS;
    this.states.set(target, { ...update, publishedAtMs: isDue ? heardAtMs : publishedAtMs });
    if (isChanged) {
      const heardAgoMs = Math.round(this.now - heardAtMs);
      const source = vm ?? 'answer';
      this.logChange({ target, isBrittle: true, rejectionsPerSecond, source, heardAgoMs });
      this.forgetExpired();
    }
    if (isDue) {
      this.options.publishBrittle([update], vm);
    }
  }

  private forgetExpired(): void {
    for (const [target, { heardAtMs }] of this.states) {
      if (this.now - heardAtMs >= BRITTLE_TTL_MS) {
        this.states.delete(target);
      }
    }
  }
}

function readText(brittleness: DirectiveResponse['directives']['brittleness']): string | undefined {
  return brittleness.kind === 'unreadable' ? brittleness.text : undefined;
}
