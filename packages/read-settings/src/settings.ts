/** The shape of the daemon's settings. Durations are in milliseconds. */
import {
  strictObject,
  integerBetween,
  listUpTo,
  oneOf,
  stringMatching,
} from '@limelead/decode-with-lines';
import * as t from 'io-ts';

const MAX_SEEDS = 64;
const MAX_OPERATORS = 16;
const LONGEST_MS = 86_400_000;

const id = stringMatching(/^[a-z0-9][a-z0-9-]{0,63}$/, 'a name of 1 to 64 of a-z, 0-9 and -');
const host = stringMatching(/^[0-9a-f.:]+$/i, 'an IP number');
const port = integerBetween(0, 65_535);
const milliseconds = integerBetween(1, LONGEST_MS);
const secret = stringMatching(/^.{16,256}$/, 'a secret of 16 to 256 characters');
const keyHash = stringMatching(/^[0-9a-f]{64}$/, 'a SHA-256 in 64 hex digits');

const address = strictObject('address', { host, port });

const peers = strictObject('peers', {
  host,
  port,
  /** Known to all VMs; links and resume handles are signed with it. */
  secret,
  /** Peers that are tried before the list of VMs is known. */
  seeds: listUpTo(strictObject('seed', { id, host, port }), MAX_SEEDS),
});

const platform = strictObject('platform', { keyValue: address, vmList: address, weights: address });

const bootstrapOperator = strictObject('operator', { name: id, keyHashes: listUpTo(keyHash, 16) });

const limits = strictObject('limits', {
  maxOpenRequests: integerBetween(1, 1_000_000),
  maxPromptCharacters: integerBetween(1, 900_000),
  maxTokens: integerBetween(1, 65_536),
  maxCallBytes: integerBetween(1, 900_000),
});

const timing = strictObject('timing', {
  listPollMs: milliseconds,
  loadPollMs: milliseconds,
  /** Age of the list of VMs beyond which a target takes no new work. */
  maxListAgeMs: milliseconds,
  heartbeatMs: milliseconds,
  configurationWaitMs: milliseconds,
  /** Time for which a generation is kept whose resumable caller's link was lost. */
  abandonedGraceMs: milliseconds,
  /** Time that the balancer needs to notice that a VM is not ready. */
  leaveBalancerMs: integerBetween(0, LONGEST_MS),
  /** Time after which a planned stop no longer waits for open requests. */
  drainMs: milliseconds,
});

/** Codec of the settings file. */
export const settingsCodec = strictObject('settings', {
  id,
  failureDomain: id,
  rpc: address,
  peers,
  platform,
  /** Operators who may change the configuration while it names none. */
  operators: listUpTo(bootstrapOperator, MAX_OPERATORS),
  limits,
  timing,
  log: strictObject('log', { level: oneOf('silent', 'error', 'warn', 'info') }),
});

/** The daemon's settings. */
export type Settings = t.TypeOf<typeof settingsCodec>;
