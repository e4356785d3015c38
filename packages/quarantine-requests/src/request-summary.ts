/** A request by its hashes, for evidence and log lines that outlive it. */
import type { CallerIdentity, RequestIdentity } from './identify-request.js';

export interface RequestSummary {
  identity: RequestIdentity;
  caller: CallerIdentity;
  requestId: string;
  /** Organisation of the caller; undefined on routes that are open to all. */
  organisation?: string;
  path: string;
  /** See `sampleRequest`. */
  sample: string;
}
