/** Reads demand, and orders targets by the plan while this VM holds the duty. */
export {};
