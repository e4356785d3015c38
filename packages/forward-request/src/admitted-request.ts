/** A request after admission at the front door. */
import type { IncomingRequest, Millis, ServingRoute } from '@limelead/types';

/** One request with the decisions of the front door's filters. */
export interface AdmittedRequest {
  request: IncomingRequest;
  route: ServingRoute;
  service: string;
  organisation?: string;
  /** True if another VM relayed the request to this one; it is not relayed again. */
  isRelayed?: boolean;
  rank: number;
  /** Steady time at which the request was received. */
  receivedAtMs: Millis;
  /** Steady time of the deadline for the complete answer, set by the caller or the route. */
  dueAtMs: Millis;
}
