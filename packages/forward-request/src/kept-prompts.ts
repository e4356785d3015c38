/**
 * Finds the target that keeps the prompt of a session. A caller that comes back
 * with its last piece had an entry VM that is gone, and with it the knowledge of
 * where its run was; reading the prompt again costs far more than asking.
 */
import { listLikelyTargets } from '@limelead/choose-service-target';
import type { DecisionLog } from '@limelead/decision-log';
import type { TargetConnections } from '@limelead/target-connections';
import { isSuspected, type TargetDirectory } from '@limelead/track-service-targets';
import type { Clock, Millis, ServiceTarget, Timers } from '@limelead/types';
import askTarget from './ask-target.js';
import type { TargetDialect } from './dialect.js';
import type { TargetBackpressure } from './target-backpressure.js';

/** Time for the answers, in milliseconds. */
const ANSWER_TIMEOUT_MS = 150;
/** Answers younger than this serve for other sessions too. */
const REUSE_MS = 250;
/**
 * Targets asked for one session. Small sites have fewer; where 196 were asked, the
 * callers that came back after all VMs lost power cost 26,000 questions on a day.
 */
const MOST_ASKED = 24;
const NOTHING: ReadonlySet<string> = new Set();

/** What the search needs. */
export interface KeptPromptsOptions {
  clock: Clock;
  timers: Timers;
  directory: TargetDirectory;
  connections: TargetConnections;
  dialect: TargetDialect;
  backpressure: Pick<TargetBackpressure, 'coolingUntilMs'>;
  log: DecisionLog;
}

interface Answer {
  askedAtMs: Millis;
  kept: Promise<ReadonlySet<string>>;
}

/** Asks targets what they keep. */
export default class KeptPrompts {
  private readonly answers = new Map<string, Answer>();

  constructor(private readonly options: KeptPromptsOptions) {}

  /** The target of the service that keeps the session's prompt, where one answers in time. */
  async find(service: string, affinityKey: string): Promise<string | undefined> {
    const { backpressure, clock, directory, log } = this.options;
    const askedAtMs = clock.now();
    const present = directory
      .listUsable(service)
      .filter(({ health }) => !isSuspected(health, askedAtMs))
      .filter(({ target }) => backpressure.coolingUntilMs(target.id) === undefined);
    const targets = listLikelyTargets(present, affinityKey, MOST_ASKED).map(({ target }) => target);
    const kept = await Promise.all(targets.map((target) => this.ask(target)));
    const found = targets.find((_, index) => kept[index]?.has(affinityKey));
    log.write('prompt-searched', {
      session: affinityKey,
      asked: targets.length,
      found: found?.id,
      afterMs: Math.round(clock.now() - askedAtMs),
    });
    return found?.id;
  }

  private ask(target: ServiceTarget): Promise<ReadonlySet<string>> {
    const now = this.options.clock.now();
    const known = this.answers.get(target.id);
    if (known !== undefined && now - known.askedAtMs < REUSE_MS) {
      return known.kept;
    }
    const kept = this.send(target);
    this.answers.set(target.id, { askedAtMs: now, kept });
    this.forgetOld(now);
    return kept;
  }

  private async send(target: ServiceTarget): Promise<ReadonlySet<string>> {
    const { connections, dialect, timers } = this.options;
    const options = { connections, timers, timeoutMs: ANSWER_TIMEOUT_MS };
    const body = await askTarget(options, target, dialect.composeKeptQuery(target));
    return body === undefined ? NOTHING : dialect.readKept(body);
  }

  private forgetOld(now: Millis): void {
    for (const [id, { askedAtMs }] of [...this.answers]) {
      if (now - askedAtMs >= REUSE_MS) {
        this.answers.delete(id);
      }
    }
  }
}
