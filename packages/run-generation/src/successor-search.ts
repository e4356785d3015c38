/**
 * Searches a target for the successor of a silent attempt. The attempt stays until a target is
 * found, because its engine may go on and may be the only one.
 */
import { computeRetryDelayMs } from '@limelead/assemble-recovery-plan';
import type {
  SessionCommand,
  SessionEvent,
  SessionState,
  Step,
} from '@limelead/generation-session';
import type { CancelTimer, Millis, TargetId } from '@limelead/types';
import * as E from 'fp-ts/lib/Either.js';
import type { GenerationDependencies } from './dependencies.js';
import type RecoverySlots from './recovery-slots.js';
import type { ReleaseSlot } from './recovery-slots.js';
import type TargetSelector from './target-selector.js';
import type { SelectedTarget } from './target-selector.js';

/** Event by which the session judges an attempt silent. */
export type SilenceEvent = Extract<SessionEvent, { kind: 'silent' | 'probed' }>;

type ChooseTargetCommand = Extract<SessionCommand, { kind: 'choose-target' }>;

/** A silence that the session does not know of yet. */
export interface HeldSilence {
  event: SilenceEvent;
  /** By which the session would choose a target for the successor; undefined at its limit. */
  command: ChooseTargetCommand | undefined;
  sinceMs: Millis;
  /** Target of the silent attempt. */
  targetId: TargetId;
  /** Targets of the live attempts. */
  busyTargets: TargetId[];
  failedSelections: number;
}

/** Target and slot of the attempt that follows a silent one. */
export interface Successor {
  target: SelectedTarget;
  release: ReleaseSlot;
}

/** Search for a target; at most one per generation. */
export default class SuccessorSearch {
  private held: HeldSilence | undefined;
  private cancelRetry: CancelTimer = () => undefined;

  /** `onDue` is called with a slot whenever a target is to be selected. */
  constructor(
    private readonly dependencies: Pick<
      GenerationDependencies,
      'clock' | 'random' | 'targets' | 'timers'
    >,
    private readonly selector: TargetSelector,
    private readonly slots: RecoverySlots,
    private readonly onDue: (silence: HeldSilence, release: ReleaseSlot) => void,
  ) {}

  /**
   * Withholds a silence and starts a search if the session's step would leave the silent attempt.
   * If that step would end the answer, the attempt stays without a successor.
   * Returns false if the step applies now.
   */
  withhold(event: SilenceEvent, step: Step, state: SessionState): boolean {
    const command = step.commands.find(isChooseTarget);
    const wouldFail = step.commands.some(({ kind }) => kind === 'fail');
    if (command === undefined && !wouldFail) {
      return false;
    }
    this.stop();
    const silent = state.attempts.find(({ number }) => number === event.attempt);
    this.held = {
      event,
      command,
      targetId: silent?.targetId ?? '',
      sinceMs: this.dependencies.clock.now(),
      busyTargets: state.attempts.map(({ targetId }) => targetId),
      failedSelections: 0,
    };
    void this.requestSelection(this.held);
    return true;
  }

  /** Ends the search if the silent attempt has written or is over. */
  onEvent(event: SessionEvent, state: SessionState): void {
    const attempt = this.held?.event.attempt;
    const hasWritten =
      (event.kind === 'tokens' || event.kind === 'opened') && event.attempt === attempt;
    if (hasWritten || state.attempts.every(({ number }) => number !== attempt)) {
      this.stop();
    }
  }

  isCurrent(silence: HeldSilence): boolean {
    return this.held === silence;
  }

  /** Selects a target; one that failed before the silence is excluded until it reports again. */
  selectTarget({ command, busyTargets, sinceMs }: HeldSilence): SelectedTarget | undefined {
    if (command === undefined) {
      return undefined;
    }
    const { targets } = this.dependencies;
    const failed = command.exclude.filter((id) => (targets.find(id)?.reportAtMs ?? 0) <= sinceMs);
    const selected = this.selector.select(command.modelVersion, [...busyTargets, ...failed]);
    return E.isRight(selected) ? selected.right : undefined;
  }

  isTargetListed({ targetId }: HeldSilence): boolean {
    return this.dependencies.targets.find(targetId) !== undefined;
  }

  /** Selects again after a delay. */
  retryLater(silence: HeldSilence): void {
    const { timers, random } = this.dependencies;
    const { failedSelections } = silence;
    const held = { ...silence, failedSelections: failedSelections + 1 };
    this.held = held;
    // Jitter between half and all of the delay prevents synchronised selections.
    const delayMs = computeRetryDelayMs(failedSelections) * (0.5 + random.next() / 2);
    this.cancelRetry = timers.after(delayMs, () => void this.requestSelection(held));
  }

  stop(): void {
    this.cancelRetry();
    this.held = undefined;
  }

  private async requestSelection(silence: HeldSilence): Promise<void> {
    const release = await this.slots.acquire();
    if (this.isCurrent(silence)) {
      this.onDue(silence, release);
    } else {
      release();
    }
  }
}

function isChooseTarget(command: SessionCommand): command is ChooseTargetCommand {
  return command.kind === 'choose-target';
}
