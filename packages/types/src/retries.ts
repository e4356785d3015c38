/** Types of the retry budgets that VMs share. */

/** Retries that the waiting requests of one class lack; may be a fraction. */
export interface RetryNeed {
  /** Class of the retries; a peer of a later release may name an unknown one. */
  class: string;
  retries: number;
}
