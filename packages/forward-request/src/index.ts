/** Forwards admitted requests to targets and returns their answers to the callers. */
export { filterEndToEndHeaders, type AnswerSink } from './answer-sink.js';
export type { AdmittedRequest } from './admitted-request.js';
export type { ForwardContext } from './context.js';
export type { AnswerInfo, RunReplica, TargetDialect, AttemptRequest } from './dialect.js';
export { default as forwardCall } from './forward-call.js';
export { default as forwardStream } from './forward-stream.js';
export { default as assessSilence } from './assess-silence.js';
export { default as CachedPromptFinder } from './cached-prompt-finder.js';
export { default as PrefillEstimator } from './prefill-estimator.js';
export { default as SlotQueue } from './slot-queue.js';
export type { Slot } from './slot-request.js';
export { default as SilenceMonitor } from './silence-monitor.js';
export { NO_RATE_LIMITS, type SendPermits } from './send-permits.js';
export { NO_BACKPRESSURE, type TargetBackpressure } from './target-backpressure.js';
export { OPEN_GATE, type TargetGate } from './target-gate.js';
export { default as SlownessTracker } from './slowness-tracker.js';
export { combineObservers, type AttemptOutcome, type TrafficObserver } from './traffic-observer.js';
export { default as queryTarget } from './query-target.js';
