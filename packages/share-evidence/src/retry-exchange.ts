/** Exchanges retries of retry budgets with peers: asks for them, lends them and receives them. */
import type { Clock, Random, RetryNeed, Timers } from '@limelead/types';
import type { ExchangeMessage, ExchangeMessageOf } from './messages.js';
import RetryBorrower from './retry-borrower.js';
import type { PeerExchangeOptions, PeerId } from './types.js';

/** Dependencies of `RetryExchange`. */
export interface RetryExchangeOptions extends Pick<
  PeerExchangeOptions,
  'listRetryNeeds' | 'lendRetries' | 'onRetriesBorrowed'
> {
  clock: Clock;
  timers: Timers;
  random: Random;
  listPeers(): PeerId[];
  send(peer: PeerId, message: ExchangeMessage): void;
}

/** Borrows and lends retries. */
export default class RetryExchange {
  private readonly borrower: RetryBorrower;

  constructor(private readonly options: RetryExchangeOptions) {
    this.borrower = new RetryBorrower({
      ...options,
      listNeeds: (service) => options.listRetryNeeds(service),
      sendRequest: (peer, service, needs) => options.send(peer, composeRequest(service, needs)),
    });
  }

  /** Borrows retries for a service that has few left. */
  borrow(service: string): void {
    this.borrower.requestRetries(service);
  }

  /** Borrows what the waiting requests of a service lack; false if there is no peer. */
  borrowForWaiters(service: string): boolean {
    return this.borrower.requestForWaiters(service);
  }

  /** Stops to ask. */
  stop(): void {
    this.borrower.stop();
  }

  /** Handles requested or lent retries. */
  onMessage(
    peer: PeerId,
    message: ExchangeMessageOf<'want-repeats'> | ExchangeMessageOf<'lend-repeats'>,
  ): void {
    const { service, repeats } = message;
    if (message.kind === 'lend-repeats') {
      this.options.onRetriesBorrowed(service, repeats);
      return;
    }
    const needs = message.needs?.map((need) => ({ class: need.class, retries: need.repeats }));
    const lent = this.options.lendRetries(service, repeats, needs);
    if (lent > 0) {
      this.options.send(peer, { kind: 'lend-repeats', service, repeats: lent });
    }
  }
}

function composeRequest(service: string, needs: RetryNeed[]): ExchangeMessage {
  return {
    kind: 'want-repeats',
    service,
    repeats: needs.reduce((total, { retries }) => total + retries, 0),
    needs: needs.map((need) => ({ class: need.class, repeats: need.retries })),
  };
}
