/**
 * Writes roll-out steps to the store. Each write is conditional on the step it follows, so all VMs
 * agree on one step after crashes, delays and lost answers, and a final step never changes.
 */
import type { DecisionLog } from '@limelead/decision-log';
import type { Duty } from '@limelead/hold-duty';
import type { ConditionalStore, StoreWrite } from '@limelead/ports';
import type { Millis } from '@limelead/types';
import * as E from 'fp-ts/lib/Either.js';
import { decodeStep, stepKey, encodeStep } from './step-item.js';
import type { AgreedStep, RollOutState, RollOutStep, StoredStep } from './types.js';

/**
 * Time within which a write reaches the store or is lost; the duty must last at least this long.
 */
const MAX_WRITE_MS = 1_000;

/** Stored item in which operators read the state of a roll-out. */
export interface StateItem {
  key: string;
  value: Buffer;
}

/** Dependencies of the step writer. */
export interface StepWriterOptions {
  store: ConditionalStore;
  log: DecisionLog;
  /**
   * Limits writes to one VM to spare the store; the conditional writes alone ensure correct steps.
   */
  duty: Pick<Duty, 'permit'>;
  composeState(service: string, state: RollOutState, version: string): StateItem;
}

/** A step to write, with its reason and the age of its order. */
export interface StepWrite {
  service: string;
  agreed: AgreedStep;
  reason: string;
  ageMs: Millis;
}

/** Writes steps, one at a time for each service. */
export default class StepWriter {
  private readonly busy = new Set<string>();

  constructor(private readonly options: StepWriterOptions) {}

  /** Writes a step. Returns the step that is now stored; undefined if that is unknown. */
  async write(stepWrite: StepWrite): Promise<StoredStep | undefined> {
    const { service } = stepWrite;
    if (this.busy.has(service) || this.options.duty.permit(MAX_WRITE_MS) === undefined) {
      return undefined;
    }
    this.busy.add(service);
    try {
      return await this.writeExclusively(stepWrite);
    } finally {
      this.busy.delete(service);
    }
  }

  private async writeExclusively(stepWrite: StepWrite): Promise<StoredStep | undefined> {
    const { service, agreed } = stepWrite;
    const key = stepKey(service);
    const read = await this.options.store.read(key)();
    if (E.isLeft(read)) {
      this.logFailure(stepWrite, read.left.message);
      return undefined;
    }
    const entry = read.right;
    const stored = entry && decodeStep(entry.value);
    if (entry !== undefined && stored !== undefined && !canFollow(stored, agreed)) {
      return { agreed: stored, revision: entry.revision };
    }
    const state = this.options.composeState(service, toOperatorState(agreed.step), agreed.version);
    const writes: StoreWrite[] = [
      { kind: 'put', key, value: encodeStep(agreed) },
      { kind: 'put', ...state },
    ];
    const written = await this.options.store.write(
      [{ key, revision: entry?.revision ?? 0 }],
      writes,
    )();
    if (E.isLeft(written)) {
      this.logFailure(stepWrite, written.left.message);
      return undefined;
    }
    if (written.right.kind !== 'written') {
      this.logFailure(stepWrite, written.right.kind);
      return undefined;
    }
    const { revision } = written.right;
    this.options.log.write('roll-out-state-written', {
      service,
      version: agreed.version,
      order: agreed.order,
      step: agreed.step,
      state: toOperatorState(agreed.step),
      reason: stepWrite.reason,
      ageMs: Math.round(stepWrite.ageMs),
      revision,
    });
    return { agreed, revision };
  }

  private logFailure({ service, agreed }: StepWrite, reason: string): void {
    this.options.log.write('roll-out-write-failed', { service, step: agreed.step, reason });
  }
}

const RANKS: Readonly<Record<RollOutStep, number>> = {
  trial: 0,
  move: 1,
  completed: 2,
  rolled_back: 2,
};

/**
 * Whether `next` may replace the stored step: a later order always may; within an order only a
 * later step may replace a step that is not final.
 */
export function canFollow(stored: AgreedStep, next: AgreedStep): boolean {
  if (next.order !== stored.order) {
    return next.order > stored.order;
  }
  return RANKS[next.step] > RANKS[stored.step];
}

function toOperatorState(step: RollOutStep): RollOutState {
  return step === 'trial' || step === 'move' ? 'running' : step;
}
