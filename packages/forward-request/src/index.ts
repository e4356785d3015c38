/** Carries a request to targets and its answer back. */
export { keepEndToEnd, type AnswerSink } from './answer-sink.js';
export type { AdmittedRequest } from './admitted-request.js';
export type { ForwardContext } from './context.js';
export type { AnswerFacts, RunCopy, TargetDialect, TargetOrder } from './dialect.js';
export { default as forwardCall } from './forward-call.js';
export { default as forwardStream } from './forward-stream.js';
export { default as judgeSilence } from './judge-silence.js';
export { default as KeptPrompts } from './kept-prompts.js';
export { default as ReadingTime } from './reading-time.js';
export { default as SlotQueue } from './slot-queue.js';
export type { Slot } from './slot-request.js';
export { default as SilenceWatch } from './silence-watch.js';
export { NO_LIMITS, type SendPermits } from './send-permits.js';
export { NO_BACKPRESSURE, type TargetBackpressure } from './target-backpressure.js';
export { OPEN_GATE, type TargetGate } from './target-gate.js';
export { default as TargetPace } from './target-pace.js';
export { tellAll, type SendEnd, type TrafficObserver } from './traffic-observer.js';
export { default as askTarget } from './ask-target.js';
