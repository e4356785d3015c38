/** Address that a server listens on. */
export interface Address {
  /** A name, an IPv4 address, or an IPv6 address in brackets. */
  host: string;
  /** From 1 to 65535. */
  port: number;
}
