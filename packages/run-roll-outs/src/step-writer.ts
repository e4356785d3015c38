/**
 * Writes steps to the store. Each write holds only while the step that it follows still
 * stands, so that whatever dies, hangs or comes late leaves one step that all agree on,
 * and none goes back from a final one.
 */
import type { DecisionLog } from '@limelead/decision-log';
import type { Duty } from '@limelead/hold-duty';
import type { ConditionalStore, StoreWrite } from '@limelead/ports';
import type { Millis } from '@limelead/types';
import * as E from 'fp-ts/lib/Either.js';
import { decodeStep, stepKey, encodeStep } from './step-item.js';
import type { AgreedStep, RollOutState, RollOutStep, StoredStep } from './types.js';

/** Time for a write to arrive or be lost; the store answers in milliseconds or is away. */
const MAX_WRITE_MS = 1_000;

/** Where the operator reads the state of a service's roll-out. */
export interface StateItem {
  key: string;
  value: Buffer;
}

/** What writing needs. */
export interface StepWriterOptions {
  store: ConditionalStore;
  log: DecisionLog;
  /** Only one VM at a time writes, to spare the store; the conditions keep the steps right. */
  duty: Pick<Duty, 'permit'>;
  composeState(service: string, state: RollOutState, version: string): StateItem;
}

/** A step to write. */
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

  /** Writes a step; gives what stands then, undefined where that is not known. */
  async write(stepOrder: StepWrite): Promise<StoredStep | undefined> {
    const { service } = stepOrder;
    if (this.busy.has(service) || this.options.duty.permit(MAX_WRITE_MS) === undefined) {
      return undefined;
    }
    this.busy.add(service);
    try {
      return await this.writeAlone(stepOrder);
    } finally {
      this.busy.delete(service);
    }
  }

  private async writeAlone(stepOrder: StepWrite): Promise<StoredStep | undefined> {
    const { service, agreed } = stepOrder;
    const key = stepKey(service);
    const read = await this.options.store.read(key)();
    if (E.isLeft(read)) {
      this.noteFault(stepOrder, read.left.message);
      return undefined;
    }
    const entry = read.right;
    const standing = entry && decodeStep(entry.value);
    if (entry !== undefined && standing !== undefined && !canFollow(standing, agreed)) {
      return { agreed: standing, revision: entry.revision };
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
      this.noteFault(stepOrder, written.left.message);
      return undefined;
    }
    if (written.right.kind !== 'written') {
      this.noteFault(stepOrder, written.right.kind);
      return undefined;
    }
    const { revision } = written.right;
    this.options.log.write('roll-out-state-written', {
      service,
      version: agreed.version,
      order: agreed.order,
      step: agreed.step,
      state: toOperatorState(agreed.step),
      reason: stepOrder.reason,
      ageMs: Math.round(stepOrder.ageMs),
      revision,
    });
    return { agreed, revision };
  }

  private noteFault({ service, agreed }: StepWrite, reason: string): void {
    this.options.log.write('roll-out-write-failed', { service, step: agreed.step, reason });
  }
}

const RANKS: Readonly<Record<RollOutStep, number>> = {
  trial: 0,
  move: 1,
  completed: 2,
  rolled_back: 2,
};

/** A later order follows any step; within one order only a later step does, and none a final one. */
export function canFollow(standing: AgreedStep, next: AgreedStep): boolean {
  if (next.order !== standing.order) {
    return next.order > standing.order;
  }
  return RANKS[next.step] > RANKS[standing.step];
}

function toOperatorState(step: RollOutStep): RollOutState {
  return step === 'trial' || step === 'move' ? 'running' : step;
}
