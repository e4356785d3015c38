/** Client of limelead's VMs for callers and operators. */
import { createClient as createRpcClient, type Client as RpcClient } from '@connectrpc/connect';
import { Administration, Generation, Observation, type CallResponse } from '@limelead/schema';
import { systemRandom, systemTimers, type Random, type Timers } from '@limelead/types';
import callService, { type ServiceCall } from './call-service.js';
import generateAnswer, { type AnswerEvent, type AnswerRequest } from './generate-answer.js';
import TransportPool from './transport-pool.js';

const DEFAULT_MAX_ATTEMPTS = 10;

/** Addresses, credentials and retry settings of a client. */
export interface ClientOptions {
  /** Base URLs of VMs, or only that of the load balancer. */
  urls: string[];
  key: string;
  /** Index of the URL to use first. */
  firstUrlIndex?: number;
  /** Maximum attempts of a call, or consecutive attempts of an answer without a new token. */
  maxAttempts?: number;
  timers?: Timers;
  random?: Random;
}

/** Sends requests to the VMs. */
export interface Client {
  /** Streams an answer; continues through another VM if a VM is lost. */
  generate(request: AnswerRequest, signal?: AbortSignal): AsyncGenerator<AnswerEvent>;
  /** Calls a plain service. */
  call(call: ServiceCall): Promise<CallResponse>;
  /** Cancels a generation through the current VM; gives whether it was cancelled. */
  cancel(requestId: string): Promise<boolean>;
  /** Methods for operators, on the VM that was current when the client was created. */
  administration: RpcClient<typeof Administration>;
  observation: RpcClient<typeof Observation>;
  /** Authorization header with the key, for direct use of the operators' methods. */
  headers: Record<string, string>;
  close(): Promise<void>;
}

export default function createClient(options: ClientOptions): Client {
  const transports = new TransportPool(options.urls, options.firstUrlIndex ?? 0);
  const headers = { authorization: `Bearer ${options.key}` };
  const dependencies = {
    transports,
    headers,
    timers: options.timers ?? systemTimers,
    random: options.random ?? systemRandom,
    maxAttempts: options.maxAttempts ?? DEFAULT_MAX_ATTEMPTS,
  };
  return {
    headers,
    generate: (request, signal) => generateAnswer(dependencies, request, signal),
    call: (call) => callService(dependencies, call, Date.now()),
    cancel: async (requestId) => {
      const rpc = createRpcClient(Generation, transports.getCurrent());
      const { cancelled } = await rpc.cancel({ requestId }, { headers });
      return cancelled;
    },
    administration: createRpcClient(Administration, transports.getCurrent()),
    observation: createRpcClient(Observation, transports.getCurrent()),
    close: () => transports.close(),
  };
}
