/** Creates HTTP clients for targets by their addresses. */
import { hashPromptBlocks } from '@limelead/outside-protocol';
import type { TargetConnector } from '@limelead/ports';
import type { HttpTransport } from './http-transport.js';
import createHttpModelEngine from './model-engine.js';
import createHttpPlainService from './plain-service.js';

/** Creates a connector whose clients share one transport. */
export default function createHttpTargetConnector(transport: HttpTransport): TargetConnector {
  return {
    engine: (host, port) => createHttpModelEngine(transport, host, port),
    plainService: (host, port, service) => createHttpPlainService(transport, host, port, service),
    hashPrompt: hashPromptBlocks,
  };
}
