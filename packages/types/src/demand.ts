/** Demand of organisations, and what identifies a request that a caller sends again. */

/** Requests per second at one VM for one service. */
export interface ServiceDemand {
  service: string;
  /** Requests of all organisations. */
  arrivals: number;
  /** Requests that got a place at a target. */
  served: number;
  /** The organisations with the highest demand; the empty name stands for open routes. */
  organisations: [organisation: string, perSecond: number][];
}

/** Identifies a request, and its equal ones. */
export interface RequestMark {
  /** The same for each request of an organisation with the same method, path and body. */
  hash: string;
  /** Distinguishes the requests of one VM. */
  number: number;
}
