import type { VmId } from '@limelead/types';

/** Maximum number of links that a VM opens itself; it accepts about as many more. */
export const MAX_OPENED_LINKS = 6;

/**
 * Selects the peers to which a VM keeps links: it sorts the VMs into a ring and returns those at
 * the distances 1, 2, 4, 8 and so on. Any two VMs are at most about log2(n) links apart, and a VM
 * never opens more than `MAX_OPENED_LINKS` links.
 */
export default function chooseLinks(self: VmId, members: readonly VmId[]): VmId[] {
  const ring = [...new Set([...members, self])].sort();
  const index = ring.indexOf(self);
  const chosen = new Set<VmId>();
  for (const distance of chooseDistances(ring.length)) {
    const peer = ring[(index + distance) % ring.length];
    if (peer !== undefined && peer !== self) {
      chosen.add(peer);
    }
  }
  return [...chosen];
}

/**
 * Returns the powers of two below the ring's length, or an evenly spaced selection in a large ring.
 */
function chooseDistances(length: number): number[] {
  const powers: number[] = [];
  for (let distance = 1; distance < length; distance *= 2) {
    powers.push(distance);
  }
  if (powers.length <= MAX_OPENED_LINKS) {
    return powers;
  }
  const step = (powers.length - 1) / (MAX_OPENED_LINKS - 1);
  return Array.from(
    { length: MAX_OPENED_LINKS },
    (_, rank) => powers[Math.round(rank * step)] ?? 1,
  );
}
