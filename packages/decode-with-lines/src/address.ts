/** A codec between "HOST:PORT" texts and addresses. */
import type { Address } from '@limelead/types';
import * as t from 'io-ts';

const MAX_PORT = 65_535;
/** A host name, an IPv4 address, or an IPv6 address in brackets, with a port. */
const ADDRESS = /^([\w.-]+|\[[\da-fA-F:.]+\]):(\d{1,5})$/;

/** Decodes and encodes addresses; rejects invalid hosts and ports. */
export const addressCodec = new t.Type<Address, string>(
  'HOST:PORT',
  (value): value is Address => typeof value === 'object',
  (value, context) => {
    const found = typeof value === 'string' ? ADDRESS.exec(value) : null;
    const port = Number(found?.[2]);
    return found?.[1] === undefined || port < 1 || port > MAX_PORT
      ? t.failure(value, context)
      : t.success({ host: found[1], port });
  },
  ({ host, port }) => `${host}:${port}`,
);
