/** Requests to targets and their answers, independent of the protocol. */
import type { IncomingRequest, ServiceTarget, TargetDirectives } from '@limelead/types';
import type { AnswerHead, TargetCall } from '@limelead/target-connections';
import type { ReportedMemory } from '@limelead/track-service-targets';

/** A copy of a run's memory (KV cache) at another target. */
export interface RunReplica {
  /** Target that holds the replica. */
  target: ServiceTarget;
  /** Id of the replicated run. */
  runId: string;
}

/** One attempt of a request at a target. */
export interface AttemptRequest {
  request: IncomingRequest;
  target: ServiceTarget;
  /** Undefined on routes that require no API key. */
  organisation?: string;
  /** Milliseconds until the deadline. */
  remainingMs: number;
  /** Number of the last piece that the caller has received; 0 for none. */
  lastPiece: number;
  /** Target that receives the replica during the run. */
  replicaTarget?: ServiceTarget;
  /** Replica from which the run resumes. */
  resumeFrom?: RunReplica;
  /** Urgency; 0 is the most urgent. */
  rank: number;
}

/** Contents of the head of an answer. */
export interface AnswerInfo {
  /** False if the answer belongs to another request. */
  isForRequest: boolean;
  /** True if the target guarantees that the request did not run and never will. */
  notRun: boolean;
  /** True if another incarnation of the target answered than the expected one. */
  isOtherTarget: boolean;
  /** Rate limit, cooldown and leaving announcement of the target. */
  directives: TargetDirectives;
}

/** Work of a target according to a probe; may be some hundred milliseconds old. */
export interface ProbeResult {
  /** Ids of the running requests. */
  runs: ReadonlySet<string>;
  /** Number of requests that wait for a slot at the target. */
  waiting: number;
  /** Undefined if the target does not report its memory. */
  memory?: ReportedMemory;
}

/** A call that stops a run. */
export interface StopOrder {
  runId: string;
  /** Target to which the memory of the run is offered. */
  receiver: ServiceTarget;
}

/** Answer of a target that was asked to stop a run. */
export interface StopAnswer {
  /**
   * "stopped" and "no-such-run" promise that the run has ended; "busy" asks for a repeat; "unclear"
   * promises nothing.
   */
  outcome: 'stopped' | 'no-such-run' | 'other-target' | 'busy' | 'unclear';
  /** Id of the memory that the target still holds for the stopped run. */
  heldMemory?: string;
}

/** Encodes the calls that stop runs. */
export interface StopDialect {
  composeStop(target: ServiceTarget, order: StopOrder): TargetCall;
  readStopAnswer(head: AnswerHead, body: Buffer): StopAnswer;
  /** Composes a call that frees the memory of a stopped run. */
  composeMemoryRelease(target: ServiceTarget, heldMemory: string): TargetCall;
}

const NO_CALL: TargetCall = { method: 'GET', path: '/', headers: [], body: Buffer.alloc(0) };

/** For targets that are never asked to stop a run. */
export const NO_STOPS: StopDialect = {
  composeStop: () => NO_CALL,
  readStopAnswer: () => ({ outcome: 'unclear' }),
  composeMemoryRelease: () => NO_CALL,
};

/** Encodes requests and decodes answers for one kind of target. */
export interface TargetDialect extends StopDialect {
  composeCall(attemptRequest: AttemptRequest): TargetCall;
  readAnswer(request: IncomingRequest, head: AnswerHead, target: ServiceTarget): AnswerInfo;
  /** Composes a cheap call that a healthy target answers at once, even under load. */
  composeProbe(target: ServiceTarget): TargetCall;
  /** Decodes the answer to a probe; undefined if it does not list runs. */
  readProbe(body: Buffer): ProbeResult | undefined;
  /** Composes a query for the sessions whose prompts the target caches. */
  composeCacheQuery(target: ServiceTarget): TargetCall;
  /** Decodes the affinity keys of the sessions whose prompts the target caches. */
  readCachedPrompts(body: Buffer): ReadonlySet<string>;
}
