/** Selects the engines that take the attempts of one generation. */
import { estimateCost, type RoutingCriteria } from '@limelead/choose-target';
import type { ErrorKind } from '@limelead/errors';
import type { TrackedTarget } from '@limelead/track-targets';
import type {
  AnswerBinding,
  GenerationRequest,
  ModelVersion,
  ObservedCandidate,
  TargetId,
} from '@limelead/types';
import * as E from 'fp-ts/lib/Either.js';
import type { GenerationDependencies } from './dependencies.js';

const CHARACTERS_PER_TOKEN = 4;
const MAX_SEED = 2 ** 32;

/** A selected target and the candidates considered. */
export interface SelectedTarget {
  targetId: TargetId;
  binding: AnswerBinding;
  considered: ObservedCandidate[];
}

/** Cost of opening an attempt at a target. */
export interface OpeningCost {
  /** Expected time to the first token. */
  costMs: number;
  /** Input tokens that are not in the target's cache. */
  uncachedTokens: number;
}

/** Selects targets for one request. */
export default class TargetSelector {
  readonly prefixHashes: string[];

  /** `delivered` is the growing list of delivered tokens. */
  constructor(
    private readonly dependencies: GenerationDependencies,
    private readonly request: GenerationRequest,
    private readonly delivered: readonly string[],
  ) {
    this.prefixHashes = dependencies.connector.hashPrompt(request.prompt);
  }

  /** Selects a usable target with the version, by default the current one of the service. */
  select(
    requiredVersion: ModelVersion | undefined,
    exclude: TargetId[],
  ): E.Either<ErrorKind, SelectedTarget> {
    const { targets, random, clock, currentVersion, chooseTarget } = this.dependencies;
    const modelVersion = requiredVersion ?? currentVersion(this.request.service);
    if (modelVersion === undefined) {
      return E.left('version-not-live');
    }
    const now = clock.now();
    const usable = targets.listUsableEngines(now, modelVersion);
    const choice = chooseTarget(usable, this.createCriteria(exclude), random);
    if (choice === undefined) {
      return E.left(targets.hasVersion(modelVersion, now) ? 'no-target' : 'version-not-live');
    }
    const binding = { modelVersion, seed: Math.floor(random.next() * MAX_SEED) };
    return E.right({ targetId: choice.target.id, binding, considered: choice.considered });
  }

  /** Estimates the cost of processing prompt and delivered tokens at a target. */
  estimateOpeningCost(target: TrackedTarget): OpeningCost {
    const criteria = this.createCriteria([]);
    const { costMs, cachedShare } = estimateCost(target, criteria);
    return { costMs, uncachedTokens: criteria.inputTokens * (1 - cachedShare) };
  }

  private createCriteria(exclude: TargetId[]): RoutingCriteria {
    const promptTokens = Math.ceil(this.request.prompt.length / CHARACTERS_PER_TOKEN);
    return {
      prefixHashes: this.prefixHashes,
      inputTokens: promptTokens + this.delivered.length,
      failureDomain: this.dependencies.failureDomain,
      exclude,
      meanAnswerTokens: this.dependencies.gaps.readMeanAnswerTokens(),
      now: this.dependencies.clock.now(),
    };
  }
}
