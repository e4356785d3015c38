/** Decodes the items of the store that limelead itself writes. */
import type { StoreItem } from '@limelead/follow-store';
import { decodeVersions } from '@limelead/record-versions';
import { decodeStep, STEP_KEY_PREFIX } from '@limelead/run-roll-outs';
import { decodeSegment } from '@limelead/store-origins';
import type { DecodedStoreItem } from './decoded-store-item.js';
import { decodeQuarantine } from './quarantine-item.js';
import {
  DUTY_KEY,
  isStreamsKey,
  QUARANTINE_KEY_PREFIX,
  ROLL_OUT_DUTY_KEY,
  VERSIONS_KEY_PREFIX,
} from './store-keys.js';

const DUTY: DecodedStoreItem = { kind: 'duty' };

/** Decodes items that limelead itself writes; undefined for others. */
export default function decodeOwnItem({ key, value }: StoreItem): DecodedStoreItem | undefined {
  if (key === DUTY_KEY || key === ROLL_OUT_DUTY_KEY) {
    return DUTY;
  }
  if (key.startsWith(QUARANTINE_KEY_PREFIX)) {
    const quarantine = decodeQuarantine(value);
    return quarantine === undefined
      ? { kind: 'unreadable', reason: 'names no service' }
      : { kind: 'quarantine', identity: key.slice(QUARANTINE_KEY_PREFIX.length), quarantine };
  }
  if (isStreamsKey(key)) {
    const origins = decodeSegment(value);
    return origins === undefined
      ? { kind: 'unreadable', reason: 'holds no origins of streams' }
      : { kind: 'streams', origins };
  }
  if (key.startsWith(VERSIONS_KEY_PREFIX)) {
    const versions = decodeVersions(value);
    return versions === undefined
      ? { kind: 'unreadable', reason: 'holds no software versions' }
      : { kind: 'versions', service: key.slice(VERSIONS_KEY_PREFIX.length), versions };
  }
  if (!key.startsWith(STEP_KEY_PREFIX)) {
    return undefined;
  }
  const agreed = decodeStep(value);
  return agreed === undefined
    ? { kind: 'unreadable', reason: 'holds no step of a roll-out' }
    : { kind: 'roll-out-step', service: key.slice(STEP_KEY_PREFIX.length), step: agreed };
}
