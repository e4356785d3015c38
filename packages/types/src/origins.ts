/** The software version at which a stream began, as VMs tell each other. */
import type { Millis } from './time.js';

/** Which software version wrote the first piece of a stream. */
export interface StreamOrigin {
  /** Id of the caller's attempt that brought the first piece; see `streamIdOf`. */
  streamId: string;
  service: string;
  softwareVersion: string;
  /** Time for which the stream may still be resumed, in milliseconds. */
  leftMs: Millis;
}

/** A stream whose origin is wanted. */
export type StreamKey = Pick<StreamOrigin, 'streamId' | 'service'>;

/** A software version of a service's targets, and how long ago one of them was last seen. */
export interface SeenVersion {
  softwareVersion: string;
  agoMs: Millis;
}

/** What one VM knows of the origin of a stream. */
export interface OriginEvidence {
  /** Version that began the stream; undefined if the VM does not know it. */
  softwareVersion?: string;
  /** Versions of the service that ran lately. */
  versions: SeenVersion[];
  /**
   * How long ago the VM knew of all versions that streams may have begun at, those before its own
   * start included; undefined if it never did.
   */
  completeAgoMs?: Millis;
}

/** Result of a search for the version that began a stream. */
export type OriginLookup =
  | { outcome: 'known'; softwareVersion: string }
  /** Nobody knows it, but no stream of the service can have begun at another version. */
  | { outcome: 'only-version'; softwareVersion: string }
  | { outcome: 'unknown' };
