/** Keys in the platform's store that limelead itself writes. */

/** Lease of the duties that one VM at a time may hold. */
export const DUTY_KEY = 'limelead/duties';
/** Lease of the roll-out duty, used if the platform configures no duties. */
export const ROLL_OUT_DUTY_KEY = 'limelead/roll-out-duty';
/** The last settled usage. */
export const USAGE_KEY = 'limelead/usage';
/** Prefix of the keys of quarantined requests; the request's identity follows. */
export const QUARANTINE_KEY_PREFIX = 'limelead/quarantine/';
/** Prefix of the keys of streams' origins; the writer's id and the number of the segment follow. */
const STREAMS_KEY_PREFIX = 'limelead/streams/';

/** Returns the key of a segment of streams' origins. */
export function streamsKeyOf(writer: string, segment: number): string {
  return `${STREAMS_KEY_PREFIX}${writer}/${segment}`;
}

/** Whether an item holds the origins of streams. */
export function isStreamsKey(key: string): boolean {
  return key.startsWith(STREAMS_KEY_PREFIX);
}

/** Returns the key of a quarantined request. */
export function quarantineKeyOf(identity: string): string {
  return `${QUARANTINE_KEY_PREFIX}${identity}`;
}

/** Prefix of the keys of recorded software versions; the service follows. */
export const VERSIONS_KEY_PREFIX = 'limelead/versions/';

/** Returns the key of a service's recorded software versions. */
export function versionsKeyOf(service: string): string {
  return `${VERSIONS_KEY_PREFIX}${service}`;
}
