/**
 * Minimum size of a large item, which takes about 0.1 s on a link of 7 Mbit/s, the slowest of the
 * users' VMs. Each VM reads only the newest version of a large item, and from the store itself:
 * sending it to every peer would saturate a VM's network link.
 */
export const LARGE_ITEM_BYTES = 64 * 1024;
