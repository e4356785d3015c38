/** Keys of the platform's store that this system writes for itself. */

/** Who holds the duties that one VM at a time may do. */
export const DUTY_KEY = 'limelead/duties';
/** The usage that was settled last. */
export const USAGE_KEY = 'limelead/usage';
