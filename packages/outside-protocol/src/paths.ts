/** Paths and headers of the outside systems' HTTP protocol. */

/** Paths of model engines. */
export const ENGINE_PATHS = {
  generations: '/v1/generations',
  attach: '/v1/generations/attach',
  cancel: '/v1/generations/cancel',
  probe: '/v1/generations/probe',
  load: '/v1/load',
  cacheEvents: '/v1/cache-events',
  exportKv: '/v1/kv/export',
  importKv: '/v1/kv/import',
  orders: '/v1/orders',
} as const;

/** Paths of the platform's key-value service, list of VMs and weight store. */
export const PLATFORM_PATHS = {
  get: '/v1/values/get',
  compareAndSwap: '/v1/values/compare-and-swap',
  delete: '/v1/values/delete',
  watch: '/v1/values/watch',
  acquireLease: '/v1/leases/acquire',
  releaseLease: '/v1/leases/release',
  vms: '/v1/vms',
  weights: '/v1/weights',
} as const;

/** Path prefix of plain services, followed by the service and the operation. */
export const PLAIN_SERVICE_PREFIX = '/v1/services';

/** Header of calls to plain services that carries the request id. */
export const REQUEST_ID_HEADER = 'x-request-id';
