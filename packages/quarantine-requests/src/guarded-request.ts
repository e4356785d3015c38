/** One request of this VM, from its first send to its final answer. */
import type { CancelTimer, Millis } from '@limelead/types';
import type { Strike, Verdict } from './case-book.js';
import identifyRequest, {
  identifyCaller,
  type IdentifiedRequest,
  type RequestIdentity,
} from './identify-request.js';
import type { Admission } from './trials.js';

/** What is known of the request. */
export interface GuardedFacts {
  request: IdentifiedRequest;
  /** Name of the route. */
  route: string;
  /** Of this sending; for lines only. */
  requestId: string;
  service: string;
  /** It was found to end its targets while it was under way. */
  onQuarantined(): void;
}

/** What the guard of this VM does for it. */
export interface GuardLink {
  watches(service: string): boolean;
  judge(request: RequestIdentity): Verdict;
  quarantineLeftMs(request: RequestIdentity): Millis;
  ask(request: RequestIdentity, receive: (admission: Admission) => void): CancelTimer;
  endTrial(request: RequestIdentity): void;
  noteBroken(strike: Strike, facts: GuardedFacts): Promise<void>;
  absolve(request: RequestIdentity): void;
  onClosed(): void;
}

/** Follows the sends of one request. */
export default class GuardedRequest {
  private identity: RequestIdentity | undefined;
  /** A target ran it to its first piece or to its answer. */
  private isHarmless = false;
  private isClosed = false;
  /** Whether this request is the one that is tried. */
  private isTried = false;
  /** Breaks that are being looked into; no verdict before. */
  private lookedInto: Promise<unknown> = Promise.resolve();
  private looking = 0;

  constructor(
    private readonly facts: GuardedFacts,
    private readonly link: GuardLink,
  ) {}

  /** Whether it is under suspicion: no second send beside the first, and nobody else is blamed. */
  get isSuspected(): boolean {
    return this.isWatched && this.link.judge(this.name) !== 'clear';
  }

  /** Time until targets may run it again, in milliseconds. */
  get quarantineLeftMs(): Millis {
    return this.link.quarantineLeftMs(this.name);
  }

  /** Asks before a send; answered at once for all requests but suspects. Gives what ends waiting. */
  ask(receive: (admission: Admission) => void): CancelTimer {
    if (this.looking > 0) {
      return this.askLater(receive);
    }
    if (this.isHarmless || !this.isWatched) {
      receive('go');
      return () => undefined;
    }
    return this.link.ask(this.name, (admission) => {
      this.isTried = admission === 'go-alone';
      receive(admission);
    });
  }

  /**
   * A send broke before the target had written anything.
   * @param startedAtMs when it was sent; steady time, as is the end
   */
  noteBroken(target: string, startedAtMs: Millis, endedAtMs: Millis): void {
    if (this.isHarmless) {
      return;
    }
    const { service, route, request } = this.facts;
    const caller = identifyCaller(request.organisation, route);
    const strike = { request: this.name, service, caller, target, startedAtMs, endedAtMs };
    this.looking += 1;
    const looked = this.link.noteBroken(strike, this.facts).then(() => {
      this.looking -= 1;
      this.endTrial();
    });
    this.lookedInto = Promise.all([this.lookedInto, looked]);
  }

  /**
   * Runs what follows a broken send once it was looked into, and what it proves is kept: the caller
   * may send the request again as soon as it has an answer. A first break needs no look.
   */
  whenKnown(follow: () => void): void {
    if (this.looking > 0) {
      void this.lookedInto.then(follow);
    } else {
      follow();
    }
  }

  /** A send is over, and tells nothing of the request. */
  noteOver(): void {
    this.endTrial();
  }

  /** A target ran it to its first piece or to its answer, and is still there. */
  noteHarmless(): void {
    if (this.isHarmless) {
      return;
    }
    this.isHarmless = true;
    if (this.isWatched) {
      this.link.absolve(this.name);
    }
    this.endTrial();
  }

  /** Some request was found to end its targets; it may be this one. What waits for a look asks again. */
  noteQuarantined(request: RequestIdentity, service: string): void {
    const isOpen = service === this.facts.service && !this.isHarmless && this.looking === 0;
    if (isOpen && request === this.name) {
      this.facts.onQuarantined();
    }
  }

  /** The request has its final answer. */
  close(): void {
    this.isClosed = true;
    if (this.looking === 0) {
      this.endTrial();
    }
    this.link.onClosed();
  }

  /** Hashed only where it is asked for: without evidence against any request it never is. */
  private get name(): RequestIdentity {
    this.identity ??= identifyRequest(this.facts.request);
    return this.identity;
  }

  private get isWatched(): boolean {
    return this.link.watches(this.facts.service);
  }

  private askLater(receive: (admission: Admission) => void): CancelTimer {
    let isCancelled = false;
    let cancel = (): void => undefined;
    void this.lookedInto.then(() => {
      if (!isCancelled && !this.isClosed) {
        cancel = this.ask(receive);
      }
    });
    return () => {
      isCancelled = true;
      cancel();
    };
  }

  private endTrial(): void {
    if (this.isTried) {
      this.isTried = false;
      this.link.endTrial(this.name);
    }
  }
}
