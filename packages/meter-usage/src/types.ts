/** Shapes that the parts of metering share. */

/** Requests of organisations in one window, as one VM counted them so far. */
export interface WindowCounts {
  /** Number of the window: window 0 begins with 1970, in true time. */
  window: number;
  counts: [organisation: string, requests: number][];
}
