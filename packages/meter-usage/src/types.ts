/** Types shared by the modules of this package. */

/** Requests of each organisation in one window, as counted so far by one VM. */
export interface WindowCounts {
  /** Number of the window; window 0 starts at the Unix epoch, in true time. */
  window: number;
  counts: [organisation: string, requests: number][];
}
