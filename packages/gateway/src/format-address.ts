import type { Address } from '@limelead/types';

/** Writes an address as "host:port", by which VMs name each other. */
export default function formatAddress({ host, port }: Address): string {
  return `${host}:${port}`;
}
