/** A VM in simulated time with a real slot queue, and what the search for a slot needs. */
import {
  NO_BACKPRESSURE,
  NO_RATE_LIMITS,
  OPEN_GATE,
  PrefillEstimator,
  SlotQueue,
  type ForwardContext,
} from '@limelead/forward-request';
import { createLocality } from '@limelead/locality';
import type { EngineCapabilities, RequestTargetAdvice } from '@limelead/types';
import type { LinkedVm } from './scheduler-link.fixture.js';
import type SimulatedTime from './simulated-time.fixture.js';

export interface ReplayVm extends LinkedVm {
  context: ForwardContext;
}

export interface ReplayVmOptions extends LinkedVm {
  time: SimulatedTime;
  engine: EngineCapabilities;
  onLimited(): void;
  requestAdvice(vm: LinkedVm, ...parameters: Parameters<RequestTargetAdvice>): () => void;
}

/** Creates a VM. */
export default function createReplayVm(options: ReplayVmOptions): ReplayVm {
  const { time, id, failureDomain, directory, engine, onLimited, requestAdvice } = options;
  const vm: LinkedVm = { id, failureDomain, directory };
  const slots = new SlotQueue({
    ...{ clock: time, timers: time, directory, failureDomain, random: { next: () => 0 } },
    locality: createLocality({ failureDomain, regionOf: {} }),
    limit: ({ target }) => target.slots,
    ...{ gate: OPEN_GATE, permits: NO_RATE_LIMITS, backpressure: NO_BACKPRESSURE },
    onPlacementLimited: onLimited,
  });
  const context = {
    ...{ clock: time, timers: time, directory, slots, gate: OPEN_GATE },
    ...{ prefill: new PrefillEstimator(), log: { write: () => undefined } },
    metrics: { count: () => undefined },
    readRouteTable: () => ({ findService: () => ({ engine }) }),
    requestAdvice: (...parameters: Parameters<RequestTargetAdvice>) =>
      requestAdvice(vm, ...parameters),
  } as unknown as ForwardContext;
  return { ...vm, context };
}
