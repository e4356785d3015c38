/** Schema of the daemon's settings. Durations are in milliseconds. */
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
const MAX_DURATION_MS = 86_400_000;

const idCodec = stringMatching(/^[a-z0-9][a-z0-9-]{0,63}$/, 'a name of 1 to 64 of a-z, 0-9 and -');
const hostCodec = stringMatching(/^[0-9a-f.:]+$/i, 'an IP address');
const portCodec = integerBetween(0, 65_535);
const millisecondsCodec = integerBetween(1, MAX_DURATION_MS);
const secretCodec = stringMatching(/^.{16,256}$/, 'a secret of 16 to 256 characters');
const keyHashCodec = stringMatching(/^[0-9a-f]{64}$/, 'a SHA-256 in 64 hex digits');

const addressCodec = strictObject('address', { host: hostCodec, port: portCodec });

const peersCodec = strictObject('peers', {
  host: hostCodec,
  port: portCodec,
  /** Secret shared by all VMs; authenticates links between them and signs resume handles. */
  secret: secretCodec,
  /** Peers to connect to before the list of VMs is known. */
  seeds: listUpTo(
    strictObject('seed', { id: idCodec, host: hostCodec, port: portCodec }),
    MAX_SEEDS,
  ),
});

const platformCodec = strictObject('platform', {
  keyValue: addressCodec,
  vmList: addressCodec,
  weights: addressCodec,
});

const bootstrapOperatorCodec = strictObject('operator', {
  name: idCodec,
  keyHashes: listUpTo(keyHashCodec, 16),
});

const limitsCodec = strictObject('limits', {
  maxOpenRequests: integerBetween(1, 1_000_000),
  maxPromptCharacters: integerBetween(1, 900_000),
  maxTokens: integerBetween(1, 65_536),
  maxCallBytes: integerBetween(1, 900_000),
});

const timingCodec = strictObject('timing', {
  listPollMs: millisecondsCodec,
  loadPollMs: millisecondsCodec,
  /** Maximum age of the list of VMs; with an older one, targets get no new work. */
  maxListAgeMs: millisecondsCodec,
  heartbeatMs: millisecondsCodec,
  configurationWaitMs: millisecondsCodec,
  /** How long a resumable generation is kept after the connection to its caller is lost. */
  abandonedGraceMs: millisecondsCodec,
  /** How long the load balancer takes to notice that a VM is not ready. */
  leaveBalancerMs: integerBetween(0, MAX_DURATION_MS),
  /** How long a planned stop waits for open requests at most. */
  drainMs: millisecondsCodec,
});

/** Codec of the settings file. */
export const settingsCodec = strictObject('settings', {
  id: idCodec,
  failureDomain: idCodec,
  rpc: addressCodec,
  peers: peersCodec,
  platform: platformCodec,
  /** Operators that may change the configuration while it defines no operators. */
  operators: listUpTo(bootstrapOperatorCodec, MAX_OPERATORS),
  limits: limitsCodec,
  timing: timingCodec,
  log: strictObject('log', { level: oneOf('silent', 'error', 'warn', 'info') }),
});

/** The daemon's settings. */
export type Settings = t.TypeOf<typeof settingsCodec>;
