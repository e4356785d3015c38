/** What targets are told and what their answers say, without the names on the wire. */
import type { IncomingRequest, ServiceTarget, TargetDirectives } from '@limelead/types';
import type { AnswerHead, TargetCall } from '@limelead/target-connections';

/** A copy of a run's memory at a target. */
export interface RunCopy {
  /** Where the copy stands. */
  keeper: ServiceTarget;
  /** Names the run that it is a copy of. */
  runId: string;
}

/** One send of a request to a target. */
export interface TargetOrder {
  request: IncomingRequest;
  target: ServiceTarget;
  /** Undefined on routes that ask for no key. */
  organisation?: string;
  /** Milliseconds that the target may take. */
  remainingMs: number;
  /** Number of the last piece that is not wanted again; 0 is none. */
  lastPiece: number;
  /** Where the target sends copies of the run while it grows. */
  copyTo?: ServiceTarget;
  /** The copy that the run goes on from. */
  continueFrom?: RunCopy;
  /** 0 is the most urgent. */
  rank: number;
}

/** What an answer says of itself. */
export interface AnswerFacts {
  /** False where the answer belongs to another request. */
  isForRequest: boolean;
  /** True where the target promises that the request has not run and never will. */
  notRun: boolean;
  /** True where another incarnation than the expected one has the address. */
  isOtherTarget: boolean;
  /** What the answer asks for beside its own request. */
  directives: TargetDirectives;
}

/** What a target says of its work, as of some hundred milliseconds ago. */
export interface ProbeFacts {
  /** Ids of the requests that it works on. */
  runs: ReadonlySet<string>;
  /** Requests that wait there for a slot. */
  waiting: number;
}

/** Composes calls and reads answers in the words of one kind of target. */
export interface TargetDialect {
  composeCall(order: TargetOrder): TargetCall;
  readAnswer(request: IncomingRequest, head: AnswerHead): AnswerFacts;
  /** A cheap call that a living target answers at once, whatever it is doing. */
  composeProbe(target: ServiceTarget): TargetCall;
  /** What the answer to a probe says; undefined where it says nothing of runs. */
  readProbe(body: Buffer): ProbeFacts | undefined;
  /** Asks a target which sessions' prompts it keeps. */
  composeKeptQuery(target: ServiceTarget): TargetCall;
  /** Affinity keys of the sessions whose prompts the target keeps. */
  readKept(body: Buffer): ReadonlySet<string>;
}
