/** What targets ask for in their answers. */
import type { DirectiveResponse } from '@limelead/types';

/** Is told of each answer. */
export interface TargetBackpressure {
  onResponse(response: DirectiveResponse): void;
}

/** Follows nothing. */
export const NO_BACKPRESSURE: TargetBackpressure = {
  onResponse: () => undefined,
};
