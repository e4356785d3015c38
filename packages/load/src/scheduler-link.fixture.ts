/** Simulated links of VMs to one scheduler, which learns their load with a delay. */
import { NO_RATE_LIMITS, OPEN_GATE } from '@limelead/forward-request';
import { TargetScheduler } from '@limelead/gateway';
import { createLocality } from '@limelead/locality';
import type { TargetDirectory, ReportedTargetLoad } from '@limelead/track-service-targets';
import type { Millis, RequestTargetAdvice } from '@limelead/types';
import type SimulatedTime from './simulated-time.fixture.js';

const SCHEDULER = 'scheduler';
const MESSAGE_DELAY_MS: Millis = 1;
const LOAD_UPDATE_DELAY_MS: Millis = 15;

/** A VM as the scheduler knows it. */
export interface LinkedVm {
  id: string;
  failureDomain: string;
  directory: TargetDirectory;
}

/** Answers requests for advice and receives the load of all VMs. */
export default class SchedulerLink {
  private readonly scheduler: TargetScheduler;
  /** Numbers of the last advice, by VM. */
  private readonly advice = new Map<string, number>();
  private lastNumber = 0;
  private readonly publishing = new Set<string>();

  /** @param memoryTokens memory of a target; 0 if unknown */
  constructor(
    private readonly time: SimulatedTime,
    private readonly directory: TargetDirectory,
    memoryTokens: number,
  ) {
    this.scheduler = new TargetScheduler({
      ...{ self: SCHEDULER, clock: time, directory, gate: OPEN_GATE, permits: NO_RATE_LIMITS },
      locality: createLocality({ failureDomain: 'd0', regionOf: {} }),
      memoryTokensOf: () => memoryTokens,
    });
  }

  /** Requests advice for a VM. */
  requestAdvice(
    { id, failureDomain }: LinkedVm,
    ...[request, receive]: Parameters<RequestTargetAdvice>
  ): () => void {
    let isCancelled = false;
    this.lastNumber += 1;
    const number = this.lastNumber;
    this.time.after(MESSAGE_DELAY_MS, () => {
      const question = { ...request, failureDomain, number, part: 0, parts: 1 };
      const answer = this.scheduler.advise(id, question);
      this.time.after(MESSAGE_DELAY_MS, () => {
        this.advice.set(id, Math.max(this.advice.get(id) ?? 0, number));
        const timing = { scheduler: SCHEDULER, afterMs: 2 * MESSAGE_DELAY_MS };
        if (isCancelled) {
          return;
        }
        if (answer?.target === undefined) {
          receive({ outcome: answer?.noRoom === true ? 'no-room' : 'no-target', ...timing });
        } else {
          receive({ outcome: 'advised', target: answer.target, copyTo: answer.copyTo, ...timing });
        }
      });
    });
    return () => void (isCancelled = true);
  }

  /** Sends the load of a VM. */
  publish({ id, directory }: LinkedVm): void {
    if (this.publishing.has(id)) {
      return;
    }
    this.publishing.add(id);
    this.time.after(LOAD_UPDATE_DELAY_MS, () => {
      this.publishing.delete(id);
      const targets = new Map<string, ReportedTargetLoad>();
      for (const { target, inFlight, reading, replicas } of directory.all()) {
        if (inFlight + replicas > 0) {
          const tokens = directory.tokens.ownAt(target.id) || undefined;
          const load = { requests: inFlight, reading, copies: replicas, slowness: 1, tokens };
          targets.set(target.id, load);
        }
      }
      const advice = this.advice.get(id) ?? 0;
      this.time.after(MESSAGE_DELAY_MS, () => this.directory.onPeerLoad(id, { targets, advice }));
    });
  }
}
