/** The client of one caller or operator. */
import { createClient as createRpcClient, type Client as RpcClient } from '@connectrpc/connect';
import { Administration, Generation, Observation, type CallResponse } from '@limelead/schema';
import { systemRandom, systemTimers, type Random, type Timers } from '@limelead/types';
import callService, { type ServiceCall } from './call-service.js';
import generateAnswer, { type AnswerEvent, type AnswerRequest } from './generate-answer.js';
import Transports from './transports.js';

const DEFAULT_MAX_TRIES = 10;

/** Where the VMs are and who asks. */
export interface ClientOptions {
  /** Base URLs of VMs, or the one of the balancer. */
  urls: string[];
  key: string;
  /** Index of the URL to begin with. */
  first?: number;
  /** Tries in a row without a new token, or of a call; 1 never tries again. */
  maxTries?: number;
  timers?: Timers;
  random?: Random;
}

/** Sends requests to the VMs. */
export interface Client {
  /** Streams an answer; goes on through another VM when one is lost. */
  generate(request: AnswerRequest, signal?: AbortSignal): AsyncGenerator<AnswerEvent>;
  /** Calls a plain service. */
  call(call: ServiceCall): Promise<CallResponse>;
  /** Cancels a generation on the VM in use. */
  cancel(requestId: string): Promise<boolean>;
  /** Methods for operators, on the VM in use. */
  administration: RpcClient<typeof Administration>;
  observation: RpcClient<typeof Observation>;
  /** Header that carries the key. */
  headers: Record<string, string>;
  close(): Promise<void>;
}

/** Creates a client. */
export default function createClient(options: ClientOptions): Client {
  const transports = new Transports(options.urls, options.first ?? 0);
  const headers = { authorization: `Bearer ${options.key}` };
  const dependencies = {
    transports,
    headers,
    timers: options.timers ?? systemTimers,
    random: options.random ?? systemRandom,
    maxTries: options.maxTries ?? DEFAULT_MAX_TRIES,
  };
  return {
    headers,
    generate: (request, signal) => generateAnswer(dependencies, request, signal),
    call: (call) => callService(dependencies, call, Date.now()),
    cancel: async (requestId) => {
      const rpc = createRpcClient(Generation, transports.get());
      const { cancelled } = await rpc.cancel({ requestId }, { headers });
      return cancelled;
    },
    administration: createRpcClient(Administration, transports.get()),
    observation: createRpcClient(Observation, transports.get()),
    close: () => transports.close(),
  };
}
