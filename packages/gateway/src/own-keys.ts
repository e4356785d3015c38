/** Keys of the platform's store that this system writes for itself. */

/** Who holds the duties that one VM at a time may do. */
export const DUTY_KEY = 'limelead/duties';
