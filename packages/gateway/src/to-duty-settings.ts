import type { Address } from '@limelead/types';
import type { DutyName, DutySettings } from './settings.js';

const DEFAULT_CALLS_PER_SECOND = 10;
const DEFAULT_LEASE_MS = 3_000;
const DEFAULT_USAGE_WINDOW_SECONDS = 5;
const DEFAULT_USAGE_DUE_SECONDS = 10;
const MS_PER_SECOND = 1_000;

/** The settings of duties as the platform's file holds them; null where it fills none. */
export interface DutyFields {
  platform?: Address | null;
  /** Names of the enabled duties, as the platform calls them. */
  names?: readonly string[] | null;
  callsPerSecond?: number | null;
  leaseMilliseconds?: number | null;
  usageWindowSeconds?: number | null;
  usageDueSeconds?: number | null;
}

/** Converts the settings; undefined if the platform enables no duty that limelead knows by its name. */
export default function toDutySettings(
  fields: DutyFields,
  nameOf: Readonly<Record<string, DutyName | undefined>>,
): DutySettings | undefined {
  const duties = (fields.names ?? []).flatMap((name) => nameOf[name] ?? []);
  if (duties.length === 0 || !fields.platform) {
    return undefined;
  }
  const windowSeconds = fields.usageWindowSeconds ?? DEFAULT_USAGE_WINDOW_SECONDS;
  const dueSeconds = fields.usageDueSeconds ?? DEFAULT_USAGE_DUE_SECONDS;
  return {
    duties,
    callsPerSecond: fields.callsPerSecond ?? DEFAULT_CALLS_PER_SECOND,
    leaseMs: fields.leaseMilliseconds ?? DEFAULT_LEASE_MS,
    usageWindowMs: windowSeconds * MS_PER_SECOND,
    usageDueMs: dueSeconds * MS_PER_SECOND,
  };
}
