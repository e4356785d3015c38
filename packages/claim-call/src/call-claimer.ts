/** Claims calls in the key-value store. Concurrent claims of one bucket share a write. */
import { PortFault } from '@limelead/errors';
import type { KeyValueStore, StoredValue } from '@limelead/ports';
import { delay, type Clock, type Millis, type Random, type Timers } from '@limelead/types';
import * as E from 'fp-ts/lib/Either.js';
import { deriveBucketKey, deriveClaimKey, decodeBucket, planClaims, type Claim } from './bucket.js';

const MAX_WRITE_ATTEMPTS = 6;
const INITIAL_RETRY_DELAY_MS = 20;

/** Identity of a call; the same for all its retries. */
export interface CallIdentity {
  organisation: string;
  requestId: string;
  /** Unix milliseconds after which the call must not be started. */
  notAfterMs: Millis;
}

/** Outcome of a claim. */
export type ClaimOutcome =
  /** This process has the exclusive right to send the call. */
  | { kind: 'granted' }
  /** Another process has the exclusive right to send it. */
  | { kind: 'held-by-other'; holder: string }
  /** The latest start time of the call has passed. */
  | { kind: 'expired' }
  /** The claim could not be written; the call must not be sent now. */
  | { kind: 'unavailable' };

/** Claims calls for one incarnation of a VM. */
export interface CallClaimer {
  claim(identity: CallIdentity): Promise<ClaimOutcome>;
}

interface PendingClaim {
  claim: Claim;
  resolve(outcome: ClaimOutcome): void;
}

interface BucketQueue {
  pending: PendingClaim[];
  isFlushing: boolean;
  /** Value as last read or written, so that most claims need no read. */
  lastSeen?: StoredValue;
}

/** Dependencies of a call claimer. */
export interface CallClaimerDependencies {
  store: KeyValueStore;
  clock: Clock;
  timers: Timers;
  random: Random;
  /** Id of this run of the VM's process. */
  incarnation: string;
}

/** Creates a call claimer. */
export default function createCallClaimer(dependencies: CallClaimerDependencies): CallClaimer {
  const { store, clock, timers, random, incarnation } = dependencies;
  const queues = new Map<string, BucketQueue>();

  function claim({ organisation, requestId, notAfterMs }: CallIdentity): Promise<ClaimOutcome> {
    if (clock.now() > notAfterMs) {
      return Promise.resolve({ kind: 'expired' });
    }
    const call = deriveClaimKey(organisation, requestId);
    const key = deriveBucketKey(call);
    const queue = queues.get(key) ?? { pending: [], isFlushing: false };
    queues.set(key, queue);
    return new Promise((resolve) => {
      queue.pending.push({ claim: { call, holder: incarnation, notAfterMs }, resolve });
      if (!queue.isFlushing) {
        void flush(key, queue);
      }
    });
  }

  async function flush(key: string, queue: BucketQueue): Promise<void> {
    queue.isFlushing = true;
    // Deferred by one event loop iteration, so that concurrent claims share the write.
    await new Promise((resolve) => setImmediate(resolve));
    while (queue.pending.length > 0) {
      const batch = queue.pending;
      queue.pending = [];
      const holders = await writeBatch(key, queue, batch);
      batch.forEach(({ claim, resolve }, index) =>
        resolve(determineOutcome(claim, holders?.[index])),
      );
    }
    queue.isFlushing = false;
  }

  /** Returns the holder of each claim, or undefined if all attempts to write failed. */
  async function writeBatch(
    key: string,
    queue: BucketQueue,
    batch: PendingClaim[],
  ): Promise<string[] | undefined> {
    const wanted = batch.map((pending) => pending.claim);
    for (let attempt = 0; attempt < MAX_WRITE_ATTEMPTS; attempt += 1) {
      const outcome = await attemptWrite(key, queue, wanted);
      if (E.isRight(outcome)) {
        if (outcome.right !== undefined) {
          return outcome.right;
        }
        continue;
      }
      // A write whose reply was lost may have taken effect, so the next attempt reads first.
      queue.lastSeen = undefined;
      await delay(timers, INITIAL_RETRY_DELAY_MS * 2 ** attempt * (0.5 + random.next() / 2));
    }
    return undefined;
  }

  async function attemptWrite(
    key: string,
    queue: BucketQueue,
    wanted: Claim[],
  ): Promise<E.Either<PortFault, string[] | undefined>> {
    const stored: E.Either<PortFault, StoredValue> =
      queue.lastSeen === undefined ? await store.get(key)() : E.right(queue.lastSeen);
    if (E.isLeft(stored)) {
      return stored;
    }
    const bucket = decodeBucket(stored.right.value);
    if (bucket === undefined) {
      return E.left(new PortFault('invalid', 'no', `the claims in ${key} are malformed`));
    }
    const update = planClaims(bucket, wanted, clock.now());
    if (!update.isChanged) {
      queue.lastSeen = stored.right;
      return E.right(update.holders);
    }
    const value = JSON.stringify(update.bucket);
    const swapped = await store.compareAndSwap(key, stored.right.version, value)();
    if (E.isLeft(swapped)) {
      return swapped;
    }
    if (swapped.right.kind === 'mismatch') {
      queue.lastSeen = swapped.right.current;
      return E.right(undefined);
    }
    queue.lastSeen = { version: swapped.right.version, value };
    return E.right(update.holders);
  }

  function determineOutcome(claim: Claim, holder: string | undefined): ClaimOutcome {
    if (holder === undefined) {
      return { kind: 'unavailable' };
    }
    if (holder !== incarnation) {
      return { kind: 'held-by-other', holder };
    }
    // Checked after the write, because an expired claim may have been removed and claimed again.
    return clock.now() > claim.notAfterMs ? { kind: 'expired' } : { kind: 'granted' };
  }

  return { claim };
}
