/** Claims calls in the platform's service; claims of one bucket that come together share a write. */
import { PortFault } from '@limelead/errors';
import type { KeyValueStore, StoredValue } from '@limelead/ports';
import { delay, type Clock, type Millis, type Random, type Timers } from '@limelead/types';
import * as E from 'fp-ts/lib/Either.js';
import { deriveBucketKey, deriveClaimKey, decodeBucket, planClaims, type Claim } from './bucket.js';

const MAX_WRITE_ATTEMPTS = 6;
const INITIAL_RETRY_DELAY_MS = 20;

/** What a call is known by. A retry has to carry the same. */
export interface CallIdentity {
  organisation: string;
  requestId: string;
  /** Unix milliseconds after which the call must not be started. */
  notAfterMs: Millis;
}

/** What became of a claim. */
export type ClaimOutcome =
  /** This process alone may send the call. */
  | { kind: 'granted' }
  /** Another process alone may send it. */
  | { kind: 'held-by-other'; holder: string }
  /** The call must no longer be started. */
  | { kind: 'expired' }
  /** The service does not answer; the call must not be sent now. */
  | { kind: 'unavailable' };

/** Claims calls for one incarnation of one VM. */
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
  /** The value as last seen, so that most claims need no read. */
  lastSeen?: StoredValue;
}

/** What a claimer needs. */
export interface CallClaimerDependencies {
  store: KeyValueStore;
  clock: Clock;
  timers: Timers;
  random: Random;
  /** Unique to this start of this VM's process. */
  incarnation: string;
}

/** Creates a claimer. */
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
    // One turn of the loop lets claims that arrive together share the write.
    await new Promise((resolve) => setImmediate(resolve));
    while (queue.pending.length > 0) {
      const batch = queue.pending;
      queue.pending = [];
      const holders = await writeBatch(key, queue, batch);
      batch.forEach(({ claim, resolve }, index) => resolve(judge(claim, holders?.[index])));
    }
    queue.isFlushing = false;
  }

  /** Gives the holder of each claim, or undefined where the service does not answer. */
  async function writeBatch(
    key: string,
    queue: BucketQueue,
    batch: PendingClaim[],
  ): Promise<string[] | undefined> {
    const wanted = batch.map((pending) => pending.claim);
    for (let tries = 0; tries < MAX_WRITE_ATTEMPTS; tries += 1) {
      const outcome = await tryWrite(key, queue, wanted);
      if (E.isRight(outcome)) {
        if (outcome.right !== undefined) {
          return outcome.right;
        }
        continue;
      }
      // A lost reply may hide a write that took effect: read before the next try.
      queue.lastSeen = undefined;
      await delay(timers, INITIAL_RETRY_DELAY_MS * 2 ** tries * (0.5 + random.next() / 2));
    }
    return undefined;
  }

  async function tryWrite(
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
      return E.left(new PortFault('invalid', 'no', `the claims in ${key} do not hold`));
    }
    const plan = planClaims(bucket, wanted, clock.now());
    if (!plan.isChanged) {
      queue.lastSeen = stored.right;
      return E.right(plan.holders);
    }
    const value = JSON.stringify(plan.bucket);
    const swapped = await store.compareAndSwap(key, stored.right.version, value)();
    if (E.isLeft(swapped)) {
      return swapped;
    }
    if (swapped.right.kind === 'mismatch') {
      queue.lastSeen = swapped.right.current;
      return E.right(undefined);
    }
    queue.lastSeen = { version: swapped.right.version, value };
    return E.right(plan.holders);
  }

  function judge(claim: Claim, holder: string | undefined): ClaimOutcome {
    if (holder === undefined) {
      return { kind: 'unavailable' };
    }
    if (holder !== incarnation) {
      return { kind: 'held-by-other', holder };
    }
    // Checked after the write: a claim that was dropped as long over may have been made again.
    return clock.now() > claim.notAfterMs ? { kind: 'expired' } : { kind: 'granted' };
  }

  return { claim };
}
