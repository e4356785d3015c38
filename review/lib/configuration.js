/** A configuration like that of a small deployment: its routes, services, limits and a tenant. */
export const HOST = 'ficu95.example';
export const KEY = 'xd9dnn2ctnfzs989anu6';
export const SERVICE = 'brief-llm';

const stream = {
  ...{ host: HOST, type: 'streaming', timeoutMs: 25_000, sloMs: 4_500, priority: 1 },
  ...{ service: SERVICE, maxAttempts: 5, public: false, sticky: true, itlTargetMs: 700 },
};

/** Two streaming routes, of which the second allows no resuming. */
export default function createConfiguration(version) {
  return {
    version,
    routes: [
      { ...stream, name: 'shift-brief', pathPrefix: '/shift/', resumable: true },
      { ...stream, name: 'reroute-brief', pathPrefix: '/reroute/', resumable: false },
    ],
    services: [
      {
        ...{ name: SERVICE, healthPath: '/healthz', maxConns: 360, protocol: 'h1', tls: false },
        engine: {
          ...{ slots: 64, kvCapacity: 55_000, kvBytes: 327_680, linkMbps: 260_000 },
          ...{ moves: true, backups: true, stride: 5, most: 12, pinMs: 4_000, holdMs: 2_000 },
          ...{ handlerS: 4, models: [{ name: 'm' }] },
        },
      },
    ],
    limits: {
      ...{ maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304 },
      ...{ headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 },
    },
    tenants: [{ name: 'huka270', apiKeys: [KEY], priority: 1 }],
  };
}
