/** Creates the error of a request that is open when this VM shuts down. */
import { LimeleadError } from '@limelead/errors';

const MESSAGE = 'this VM stops before the answer is complete';

/** @param mayHaveRun whether a target may have run it; then it is never reported as not run */
export default function createShutdownError(mayHaveRun: boolean): LimeleadError {
  return new LimeleadError(mayHaveRun ? 'outcome-unknown' : 'shutting-down', MESSAGE);
}
