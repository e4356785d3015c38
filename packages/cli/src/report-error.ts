/** Prints errors of commands and maps them to exit codes. */
import { readErrorDetail } from '@limelead/client';
import { DecodeError } from '@limelead/errors';
import { EXIT_CODES } from './exit-codes.js';
import UsageError from './usage-error.js';

/** Prints anything that a command threw; returns the exit code. */
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
    const output = { error: { kind, message, execution, mayRetry, retryAfterMs, current } };
    process.stdout.write(`${JSON.stringify(output)}\n`);
  }
  process.stderr.write(`limelead: ${kind}: ${message} (${describeExecution(execution)})\n`);
  current?.forEach((resource) =>
    process.stderr.write(
      `  now at revision ${resource.revision}: ${resource.kind} ${resource.name}\n`,
    ),
  );
  return getExitCode(kind, execution);
}

function describeExecution(execution: string): string {
  return (
    { 'not-run': 'was not run', run: 'was run', unknown: 'may have been run' }[execution] ?? ''
  );
}

function getExitCode(kind: string, execution: string): number {
  if (kind === 'conflict') {
    return EXIT_CODES.conflict;
  }
  if (kind === 'outcome-unknown') {
    return EXIT_CODES.outcomeUnknown;
  }
  return execution === 'not-run' ? EXIT_CODES.refused : EXIT_CODES.failed;
}
