import type { Address } from '@limelead/types';

/** Formats an address as "host:port"; for the peer address this is the VM's peer id. */
export default function formatAddress({ host, port }: Address): string {
  return `${host}:${port}`;
}
