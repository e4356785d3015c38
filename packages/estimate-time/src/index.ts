/** True time from the clocks of many VMs, some of which jump. */
export {};
