import { MAX_BREAKS } from '@limelead/assemble-recovery-plan';
import type { SessionState } from './state.js';

/** Whether the generation survives another break or silence. */
export default function hasBreaksLeft({ breakCount }: Pick<SessionState, 'breakCount'>): boolean {
  return breakCount < MAX_BREAKS;
}
