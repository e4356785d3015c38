/** Creates settings of VMs on loopback. */
import type { Settings } from '@limelead/read-settings';
import { DEMO_KEYS, hashKey } from './demo-configuration.js';

const HOST = '127.0.0.1';

/** Identity and addresses of one VM. */
export interface VmLocation {
  id: string;
  failureDomain: string;
  platformPort: number;
  seeds: Settings['peers']['seeds'];
}

/** Creates settings with short intervals, so that a demonstration takes only seconds. */
export default function createSettings(location: VmLocation): Settings {
  const platform = { host: HOST, port: location.platformPort };
  return {
    id: location.id,
    failureDomain: location.failureDomain,
    rpc: { host: HOST, port: 0 },
    peers: { host: HOST, port: 0, secret: 'demo-secret-of-all-vms', seeds: location.seeds },
    platform: { keyValue: platform, vmList: platform, weights: platform },
    operators: [{ name: 'demo', keyHashes: [hashKey(DEMO_KEYS.operator)] }],
    limits: {
      maxOpenRequests: 2_000,
      maxPromptCharacters: 100_000,
      maxTokens: 8_192,
      maxCallBytes: 262_144,
    },
    timing: {
      listPollMs: 300,
      loadPollMs: 250,
      maxListAgeMs: 3_000,
      heartbeatMs: 300,
      configurationWaitMs: 2_000,
      abandonedGraceMs: 5_000,
      leaveBalancerMs: 300,
      drainMs: 20_000,
    },
    log: { level: 'silent' },
  };
}
