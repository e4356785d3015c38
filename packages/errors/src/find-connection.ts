/** Finds the connection that an exception names. */

/** Returns the other end as "host:port", or undefined if the exception names none. */
export default function findConnection(thrown: unknown): string | undefined {
  if (!(thrown instanceof Error)) {
    return undefined;
  }
  const { address, port, socket, cause } = thrown as Error & {
    /** Of the runtime's errors. */
    address?: string;
    port?: number;
    /** Of the HTTP library's errors. */
    socket?: { remoteAddress?: string; remotePort?: number } | null;
  };
  const host = address ?? socket?.remoteAddress;
  const hostPort = port ?? socket?.remotePort;
  return host === undefined || hostPort === undefined
    ? findConnection(cause)
    : `${host}:${hostPort}`;
}
