/**
 * Relayed requests are plain HTTP at the address for peers, with a header. A VM of an older release
 * answers them with 421, which says that the request was not run.
 */
import type { ErrorKind, LimeleadError } from '@limelead/errors';
import type { AnswerHead } from '@limelead/target-connections';

const RELAY_HEADER = 'limelead-relay';
const DECLINED = 'declined';
const MISDIRECTED = 421;

/** What a VM asks of another one. */
export type RelayKind = 'request' | 'probe';

/** Refusals after which another VM may still serve the request. */
const RETRIED_ELSEWHERE: ReadonlySet<ErrorKind> = new Set<ErrorKind>([
  ...(['no-target', 'shutting-down', 'store-unavailable'] as const),
  // A VM may lag behind the configuration by which the sender accepted the request.
  ...(['not-found', 'unauthenticated'] as const),
]);

/** Adds the header, in place of one that the caller sent. */
export function markRelayed(rawHeaders: readonly string[], kind: RelayKind): string[] {
  return [...withoutRelayHeader(rawHeaders), RELAY_HEADER, kind];
}

/** Returns what is asked for, or undefined if the request is not of another VM. */
export function readRelayKind(rawHeaders: readonly string[]): RelayKind | undefined {
  const index = rawHeaders.findIndex(isRelayHeaderName);
  const kind = index < 0 ? undefined : rawHeaders[index + 1];
  return kind === 'request' || kind === 'probe' ? kind : undefined;
}

/** Removes the header; names and values alternate. */
export function withoutRelayHeader(rawHeaders: readonly string[]): string[] {
  const isKept = (_: string, index: number): boolean =>
    !isRelayHeaderName(rawHeaders[index - (index % 2)] ?? '', 0);
  return rawHeaders.filter(isKept);
}

/** Headers of a refusal that tell the sender whether to ask another VM. */
export function composeRefusalHeaders({ kind, answer }: LimeleadError): string[] {
  const isDeclined = answer.execution === 'not-run' && RETRIED_ELSEWHERE.has(kind);
  return isDeclined ? [RELAY_HEADER, DECLINED] : [];
}

/** Whether the VM did not run the request and another one may be asked. */
export function isDeclined({ status, headers }: Pick<AnswerHead, 'status' | 'headers'>): boolean {
  return status === MISDIRECTED || headers.get(RELAY_HEADER) === DECLINED;
}

function isRelayHeaderName(name: string, index: number): boolean {
  return index % 2 === 0 && name.toLowerCase() === RELAY_HEADER;
}
