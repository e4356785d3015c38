/** A request as the front door's filters pass it on. */
import type { IncomingRequest, Millis, ServingRoute } from '@limelead/types';

/** One request with what the front door's filters decided about it. */
export interface AdmittedRequest {
  request: IncomingRequest;
  route: ServingRoute;
  service: string;
  organisation?: string;
  rank: number;
  /** Steady time at which the request was read. */
  receivedAtMs: Millis;
  /** Steady time by which the final answer is due: the caller's or the route's limit. */
  dueAtMs: Millis;
}
