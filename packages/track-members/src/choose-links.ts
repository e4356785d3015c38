/** Pure decision: to which peers a VM keeps a link. */
import type { VmId } from '@limelead/types';

/** Links that a VM opens itself; it accepts about as many more. */
export const MAX_OPENED_LINKS = 6;

/**
 * Sorts the VMs into a ring and links to those at the distances 1, 2, 4, 8 and
 * so on. Any two VMs are then at most about log2(n) links apart, and the work
 * of one VM does not grow with the fleet beyond `MAX_OPENED_LINKS`.
 */
export default function chooseLinks(self: VmId, members: readonly VmId[]): VmId[] {
  const ring = [...new Set([...members, self])].sort();
  const place = ring.indexOf(self);
  const chosen = new Set<VmId>();
  for (const distance of chooseDistances(ring.length)) {
    const peer = ring[(place + distance) % ring.length];
    if (peer !== undefined && peer !== self) {
      chosen.add(peer);
    }
  }
  return [...chosen];
}

/** Powers of two below the ring's length; a large ring takes evenly spread ones of them. */
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
    (_, index) => powers[Math.round(index * step)] ?? 1,
  );
}
