/** Items of the store as limelead uses them. */
import type { StoreItem } from '@limelead/follow-store';
import type { Quarantine } from '@limelead/quarantine-requests';
import type { SegmentOrigins } from '@limelead/store-origins';
import type { AgreedStep, RollOutState, StateItem } from '@limelead/run-roll-outs';
import type { RollOutOrder, ServiceTarget, ServingConfiguration } from '@limelead/types';

/** A decoded store item. */
export type DecodedStoreItem =
  | { kind: 'configuration'; configuration: ServingConfiguration }
  | { kind: 'target'; target: ServiceTarget }
  | { kind: 'roll-out'; order: RollOutOrder }
  /** Written by limelead: the current step of a roll-out. */
  | { kind: 'roll-out-step'; service: string; step: AgreedStep }
  /** Written by limelead: requests of that identity are quarantined. */
  | { kind: 'quarantine'; identity: string; quarantine: Quarantine }
  /** Written by limelead: software versions at which streams of a service may have begun. */
  | { kind: 'versions'; service: string; versions: readonly string[] }
  /** Written by limelead: the software versions that began some streams. */
  | { kind: 'streams'; origins: SegmentOrigins }
  /** Written by limelead: a VM holds the duties. */
  | { kind: 'duty' }
  /**
   * An item that can't be decoded. The target that it held before is kept as leaving, so that
   * it receives no new requests until a valid item is written.
   */
  | { kind: 'unreadable'; reason: string; previousTarget?: ServiceTarget }
  | { kind: 'other' };

/** Translates between the platform's store items and limelead's types. */
export interface StoreDialect {
  decode(item: StoreItem): DecodedStoreItem;
  /** Returns the id of the target stored under a key; undefined for keys of other items. */
  parseTargetId(key: string): string | undefined;
  /** Creates the item that shows operators the state of a roll-out. */
  composeRollOutState(service: string, state: RollOutState, version: string): StateItem;
}

/** The target of an item, also of one that is unreadable now. */
export function getDecodedTarget(decoded: DecodedStoreItem): ServiceTarget | undefined {
  if (decoded.kind === 'target') {
    return decoded.target;
  }
  return decoded.kind === 'unreadable' ? decoded.previousTarget : undefined;
}
