/**
 * Finds the target that caches the prompt of a session. A caller that resumes after the
 * loss of its entry VM is sent there, since a query costs less than another prefill.
 */
import { listLikelyTargets } from '@limelead/choose-service-target';
import type { DecisionLog } from '@limelead/decision-log';
import type { TargetConnections } from '@limelead/target-connections';
import { isSuspected, type TargetDirectory } from '@limelead/track-service-targets';
import {
  runsSoftwareVersion,
  type Clock,
  type Millis,
  type ServiceTarget,
  type Timers,
} from '@limelead/types';
import queryTarget from './query-target.js';
import type { TargetDialect } from './dialect.js';
import type { TargetBackpressure } from './target-backpressure.js';

/** Timeout for the answers of targets. */
const ANSWER_TIMEOUT_MS = 150;
/** Time for which an answer is reused for other sessions. */
const ANSWER_TTL_MS = 250;
/**
 * Limits the queries per session in large fleets. With 196 queried targets, the callers that
 * returned after a power loss of all VMs caused 26,000 queries.
 */
const MAX_QUERIED_TARGETS = 24;
const NO_PROMPTS: ReadonlySet<string> = new Set();

export interface CachedPromptFinderOptions {
  clock: Clock;
  timers: Timers;
  directory: TargetDirectory;
  connections: TargetConnections;
  dialect: TargetDialect;
  backpressure: Pick<TargetBackpressure, 'cooldownUntilMs'>;
  log: DecisionLog;
}

interface Answer {
  askedAtMs: Millis;
  affinityKeys: Promise<ReadonlySet<string>>;
}

/** Queries targets for the prompts that they cache. */
export default class CachedPromptFinder {
  private readonly answers = new Map<string, Answer>();

  constructor(private readonly options: CachedPromptFinderOptions) {}

  /**
   * Returns the id of the target that caches the prompt, or undefined if none reports it in time.
   * @param softwareVersion the only version to consider; undefined for all
   */
  async find(
    service: string,
    affinityKey: string,
    softwareVersion?: string,
  ): Promise<string | undefined> {
    const { backpressure, clock, directory, log } = this.options;
    const askedAtMs = clock.now();
    const present = directory
      .listUsable(service)
      .filter(({ target }) => runsSoftwareVersion(target, softwareVersion))
      .filter(({ health }) => !isSuspected(health, askedAtMs))
      .filter(({ target }) => backpressure.cooldownUntilMs(target.id) === undefined);
    const targets = listLikelyTargets(present, affinityKey, MAX_QUERIED_TARGETS).map(
      ({ target }) => target,
    );
    const affinityKeys = await Promise.all(targets.map((target) => this.query(target)));
    const found = targets.find((_, index) => affinityKeys[index]?.has(affinityKey));
    log.write('prompt-searched', {
      session: affinityKey,
      asked: targets.length,
      found: found?.id,
      afterMs: Math.round(clock.now() - askedAtMs),
    });
    return found?.id;
  }

  private query(target: ServiceTarget): Promise<ReadonlySet<string>> {
    const now = this.options.clock.now();
    const known = this.answers.get(target.id);
    if (known !== undefined && now - known.askedAtMs < ANSWER_TTL_MS) {
      return known.affinityKeys;
    }
    const affinityKeys = this.send(target);
    this.answers.set(target.id, { askedAtMs: now, affinityKeys });
    this.evictExpired(now);
    return affinityKeys;
  }

  private async send(target: ServiceTarget): Promise<ReadonlySet<string>> {
    const { connections, dialect, timers } = this.options;
    const options = { connections, timers, timeoutMs: ANSWER_TIMEOUT_MS };
    const body = await queryTarget(options, target, dialect.composeCacheQuery(target));
    return body === undefined ? NO_PROMPTS : dialect.readCachedPrompts(body);
  }

  private evictExpired(now: Millis): void {
    for (const [id, { askedAtMs }] of [...this.answers]) {
      if (now - askedAtMs >= ANSWER_TTL_MS) {
        this.answers.delete(id);
      }
    }
  }
}
