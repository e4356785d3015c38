/** Shows an error on standard error and gives its exit code. */
import { readErrorDetail } from '@limelead/client';
import { DecodeError } from '@limelead/errors';
import { EXIT_CODES } from './exit-codes.js';
import UsageError from './usage-error.js';

/** Reports anything that a command threw. */
export default function reportError(thrown: unknown, isJson: boolean): number {
  if (thrown instanceof UsageError || thrown instanceof DecodeError) {
    process.stderr.write(`limelead: ${thrown.message}\n`);
    return EXIT_CODES.usage;
  }
  const error = readErrorDetail(thrown);
  const { kind = 'link', message, execution, mayRetry, retryAfterMs } = error;
  const current = error.conflict?.current.map(({ revision, resource }) => ({
    revision: Number(revision),
    kind: resource?.kind.case,
    name: resource?.kind.value?.name,
  }));
  if (isJson) {
    const shown = { error: { kind, message, execution, mayRetry, retryAfterMs, current } };
    process.stdout.write(`${JSON.stringify(shown)}\n`);
  }
  process.stderr.write(`limelead: ${kind}: ${message} (${describeExecution(execution)})\n`);
  current?.forEach((resource) =>
    process.stderr.write(
      `  now at revision ${resource.revision}: ${resource.kind} ${resource.name}\n`,
    ),
  );
  return exitCodeOf(kind, execution);
}

function describeExecution(execution: string): string {
  return (
    { 'not-run': 'was not run', run: 'was run', unknown: 'may have been run' }[execution] ?? ''
  );
}

function exitCodeOf(kind: string, execution: string): number {
  if (kind === 'conflict') {
    return EXIT_CODES.conflict;
  }
  if (kind === 'outcome-unknown') {
    return EXIT_CODES.outcomeUnknown;
  }
  return execution === 'not-run' ? EXIT_CODES.refused : EXIT_CODES.failed;
}
