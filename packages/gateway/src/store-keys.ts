/** Keys of the platform's store that this system writes for itself. */

/** Who holds the duties that one VM at a time may do. */
export const DUTY_KEY = 'limelead/duties';
/** Who may write the steps of roll-outs, where the platform names no duties. */
export const ROLL_OUT_DUTY_KEY = 'limelead/roll-out-duty';
/** The usage that was settled last. */
export const USAGE_KEY = 'limelead/usage';
/** Keys of requests that are kept from targets begin so; the identity follows. */
export const QUARANTINE_KEY_PREFIX = 'limelead/quarantine/';

/** Key of the item of a request. */
export function quarantineKeyOf(identity: string): string {
  return `${QUARANTINE_KEY_PREFIX}${identity}`;
}
