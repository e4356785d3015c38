/** Moves the traffic of a service to another version, or back, and writes what became of it. */
export {};
