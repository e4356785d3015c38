/** Outcomes of requests in tests. */
import { readErrorDetail } from '@limelead/client';

/** Returns "answered", or kind and execution of the error, such as "no-target/not-run". */
export default async function getOutcome(run: () => Promise<unknown>): Promise<string> {
  try {
    await run();
    return 'answered';
  } catch (thrown) {
    const { kind, execution } = readErrorDetail(thrown);
    return `${kind ?? 'link'}/${execution}`;
  }
}
