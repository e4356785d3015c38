/**
 * Bytes from which on an item is large: it takes a link of 7 Mbit/s, the slowest
 * of the users' VMs, 0.1 s. Each VM reads such an item from the store itself, and
 * only its newest version; passed on, it would fill the link of a small VM once
 * for each of its peers.
 */
export const LARGE_ITEM_BYTES = 64 * 1024;
