/**
 * Marks requests that have to wait with a hash, by which their repeats are detected. A request that
 * gets a slot at once is not hashed.
 */
import { RepeatDetector } from '@limelead/admit-request';
import { identifyRequest } from '@limelead/quarantine-requests';
import type { Millis, RequestMark } from '@limelead/types';
import type { AdmittedRequest } from './admitted-request.js';
import { selectIdentityFields } from './identify-admitted-request.js';

/** Digits of the hash that are kept; 64 bits make collisions within ten seconds negligible. */
const HASH_DIGITS = 16;
/** Longer bodies are hashed in part, since a megabyte takes 2.5 ms. */
const MAX_HASHED_BYTES = 16_384;

/** A hash, and whether an equal request began at this VM shortly before. */
export interface MarkedRequest {
  mark: RequestMark;
  isRepeat: boolean;
}

/** Marks the requests of one VM. */
export default class RepeatMarker {
  private readonly detector = new RepeatDetector();
  /** A further attempt of a request keeps its mark, so that it is no repeat of itself. */
  private readonly marks = new WeakMap<AdmittedRequest, MarkedRequest>();
  private lastNumber = 0;

  /**
   * Marks a request that has to wait. Undefined for a request of an open route, where equal requests
   * may come from different callers.
   */
  mark(admitted: AdmittedRequest, now: Millis): MarkedRequest | undefined {
    if (admitted.organisation === undefined) {
      return undefined;
    }
    const known = this.marks.get(admitted);
    if (known !== undefined) {
      return known;
    }
    this.lastNumber += 1;
    const mark = { hash: hashInPart(admitted), number: this.lastNumber };
    const marked = { mark, isRepeat: this.detector.isRepeat(mark, '', now) };
    this.marks.set(admitted, marked);
    return marked;
  }
}

function hashInPart(admitted: AdmittedRequest): string {
  const fields = selectIdentityFields(admitted);
  return identifyRequest({ ...fields, body: sample(fields.body) }).slice(0, HASH_DIGITS);
}

/** The whole body, or its length, beginning and end. */
function sample(body: Buffer): Buffer {
  if (body.length <= MAX_HASHED_BYTES) {
    return body;
  }
  const half = MAX_HASHED_BYTES / 2;
  const length = Buffer.from(`${body.length}:`);
  return Buffer.concat([length, body.subarray(0, half), body.subarray(-half)]);
}
