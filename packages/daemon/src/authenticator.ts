/** Who a caller or operator is, by the key in the request's header. */
import { listSpecs, type Configuration } from '@limelead/configuration-state';
import { LimeleadError } from '@limelead/errors';
import type { Operator, Organisation } from '@limelead/types';
import { createHash, timingSafeEqual } from 'node:crypto';

const SCHEME = 'Bearer ';
const MAX_KEY_CHARACTERS = 512;

interface KeyOwner<Owner> {
  hash: Buffer;
  owner: Owner;
}

/** Knows the owners of all keys of the configuration in force. */
export default class Authenticator {
  private organisations = new Map<string, KeyOwner<Organisation>>();
  private operators = new Map<string, KeyOwner<Operator>>();

  /** @param bootstrap operators that count while the configuration names none */
  constructor(private readonly bootstrap: readonly Operator[]) {
    this.operators = indexKeys(bootstrap);
  }

  /** Takes the keys of a newer configuration. */
  update(configuration: Configuration): void {
    this.organisations = indexKeys(listSpecs(configuration, 'organisation'));
    const operators = listSpecs(configuration, 'operator');
    this.operators = indexKeys(operators.length > 0 ? operators : this.bootstrap);
  }

  /** The organisation of a caller. Throws where the key is not known. */
  requireOrganisation(headers: Headers): Organisation {
    return requireOwner(this.organisations, headers);
  }

  /** The operator. Throws where the key is not known, or is an organisation's. */
  requireOperator(headers: Headers): Operator {
    const hash = hashPresentedKey(headers);
    if (findOwner(this.organisations, hash) !== undefined) {
      throw new LimeleadError('permission-denied', "an organisation's key can not do this");
    }
    return requireOwner(this.operators, headers);
  }
}

function requireOwner<Owner>(owners: Map<string, KeyOwner<Owner>>, headers: Headers): Owner {
  const owner = findOwner(owners, hashPresentedKey(headers));
  if (owner === undefined) {
    throw new LimeleadError('unauthenticated', 'the key is not known');
  }
  return owner;
}

/** The index is by prefix of the hash only; the whole hash is compared in constant time. */
function findOwner<Owner>(owners: Map<string, KeyOwner<Owner>>, hash: Buffer): Owner | undefined {
  const candidate = owners.get(hashPrefix(hash));
  return candidate !== undefined && timingSafeEqual(candidate.hash, hash)
    ? candidate.owner
    : undefined;
}

function hashPresentedKey(headers: Headers): Buffer {
  const header = headers.get('authorization') ?? '';
  if (!header.startsWith(SCHEME) || header.length > MAX_KEY_CHARACTERS) {
    throw new LimeleadError('unauthenticated', 'a key is needed: "Authorization: Bearer KEY"');
  }
  return createHash('sha256').update(header.slice(SCHEME.length)).digest();
}

function indexKeys<Owner extends { keyHashes: string[] }>(
  owners: readonly Owner[],
): Map<string, KeyOwner<Owner>> {
  const index = new Map<string, KeyOwner<Owner>>();
  for (const owner of owners) {
    for (const keyHash of owner.keyHashes) {
      const hash = Buffer.from(keyHash, 'hex');
      index.set(hashPrefix(hash), { hash, owner });
    }
  }
  return index;
}

/** Half of the hash, so that a look-up tells nothing of the other half. */
function hashPrefix(hash: Buffer): string {
  return hash.toString('latin1', 0, hash.length / 2);
}
