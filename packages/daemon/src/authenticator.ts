/** Authenticates callers and operators by the key in the request's Authorization header. */
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

/** Finds the organisation or operator that owns a key in the current configuration. */
export default class Authenticator {
  private organisations = new Map<string, KeyOwner<Organisation>>();
  private operators = new Map<string, KeyOwner<Operator>>();

  /** @param bootstrapOperators operators that are accepted while the configuration has none */
  constructor(private readonly bootstrapOperators: readonly Operator[]) {
    this.operators = indexKeys(bootstrapOperators);
  }

  /** Replaces all keys by those of a newer configuration. */
  update(configuration: Configuration): void {
    this.organisations = indexKeys(listSpecs(configuration, 'organisation'));
    const operators = listSpecs(configuration, 'operator');
    this.operators = indexKeys(operators.length > 0 ? operators : this.bootstrapOperators);
  }

  /** Returns the caller's organisation; throws `unauthenticated` if the key is unknown. */
  requireOrganisation(headers: Headers): Organisation {
    return requireOwner(this.organisations, headers);
  }

  /** Returns the operator; throws if the key is unknown or belongs to an organisation. */
  requireOperator(headers: Headers): Operator {
    const hash = hashPresentedKey(headers);
    if (findOwner(this.organisations, hash) !== undefined) {
      throw new LimeleadError('permission-denied', 'this method needs the key of an operator');
    }
    return requireOwner(this.operators, headers);
  }
}

function requireOwner<Owner>(owners: Map<string, KeyOwner<Owner>>, headers: Headers): Owner {
  const owner = findOwner(owners, hashPresentedKey(headers));
  if (owner === undefined) {
    throw new LimeleadError('unauthenticated', 'unknown key');
  }
  return owner;
}

/** Looks up by the prefix of the hash, then compares the whole hash in constant time. */
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

/** Returns the first half of the hash, so that the timing of a look-up reveals nothing of the rest. */
function hashPrefix(hash: Buffer): string {
  return hash.toString('latin1', 0, hash.length / 2);
}
