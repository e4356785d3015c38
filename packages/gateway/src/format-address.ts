import type { ListenAddress } from './readiness-server.js';

/** Writes an address as "host:port", by which VMs name each other. */
export default function formatAddress({ host, port }: ListenAddress): string {
  return `${host}:${port}`;
}
