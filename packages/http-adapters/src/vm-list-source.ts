/** HTTP adapter for the platform's list of VMs. */
import { PLATFORM_PATHS, vmListCodec } from '@limelead/outside-protocol';
import type { VmListSource } from '@limelead/ports';
import type { HttpTransport } from './http-transport.js';

/** Creates a client of the VM list at an address. */
export default function createHttpVmListSource(
  transport: HttpTransport,
  host: string,
  port: number,
): VmListSource {
  return {
    read: () =>
      transport.requestJson({ method: 'GET', host, port, path: PLATFORM_PATHS.vms }, vmListCodec),
  };
}
