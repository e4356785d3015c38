/** Stand-in for a model engine, with switches for its faults. */
import { ENGINE_PATHS } from '@limelead/outside-protocol';
import {
  systemClock,
  type AttachOrder,
  type Clock,
  type LoadReport,
  type ModelVersion,
  type PlacementOrder,
  type StartOrder,
} from '@limelead/types';
import type { FastifyInstance, FastifyReply, FastifyRequest } from 'fastify';
import FaultyServer from '../server.js';
import Batch, { type BatchOptions, type GenerationRecord } from './batch.js';
import LoadedModels from './loaded-models.js';
import PrefixCache from './prefix-cache.js';
import streamToReader, { type StreamEndFault } from './stream-to-reader.js';

const STEP_MS = 2;

/** Behaviour of an engine. */
export interface EngineOptions extends BatchOptions {
  id: string;
  loaded: ModelVersion[];
  /** Delay until a load report is published. */
  reportLagMs: number;
  cacheBlocks: number;
  cacheLagMs: number;
  /** Every nth cache event is lost; 0 loses none. */
  loseCacheEvery: number;
  /** Time to load a model version. */
  loadMs: number;
  checksFences: boolean;
  clock: Clock;
}

/** Defaults for tests: a fast engine that loses every tenth cache event. */
export const DEFAULT_ENGINE_OPTIONS: Omit<EngineOptions, 'id' | 'loaded'> = {
  slots: 16,
  baseGapMs: 8,
  loadSlowdown: 1,
  prefillTokensPerSecond: 20_000,
  orphanMs: 10_000,
  reportLagMs: 300,
  cacheBlocks: 2_000,
  cacheLagMs: 500,
  loseCacheEvery: 10,
  loadMs: 200,
  checksFences: true,
  clock: systemClock,
};

/** A running engine with switches for its faults. */
export interface Engine {
  id: string;
  port: number;
  /** Stops at once and loses all state except the records. */
  crash(): Promise<void>;
  /** Starts again on the same port without its former state. */
  restart(): Promise<void>;
  /** Stops all work and answers nothing; connections stay open. */
  pause(): void;
  resume(): void;
  /** Answers nothing while generations continue; connections stay open. */
  partition(): void;
  endPartition(): void;
  /** Closes all open connections; generations continue. */
  closeConnections(): void;
  /** Multiplies the duration of every step. */
  setSlowdown(factor: number): void;
  /** Sets the fault with which later streams end. */
  setStreamEndFault(fault: StreamEndFault): void;
  /** Returns the records of all generations, including those before a crash. */
  records(): GenerationRecord[];
  loaded(): ModelVersion[];
  /** Returns the applied placement orders since the last start. */
  orders(): PlacementOrder[];
  stop(): Promise<void>;
}

/** Starts an engine on loopback. */
export default async function startEngine(
  options: Partial<EngineOptions> & Pick<EngineOptions, 'id' | 'loaded'>,
): Promise<Engine> {
  const engine = new RunningEngine({ ...DEFAULT_ENGINE_OPTIONS, ...options });
  await engine.start();
  return engine;
}

class RunningEngine implements Engine {
  private readonly server = new FaultyServer((server) => this.register(server));
  private cache: PrefixCache;
  private batch: Batch;
  private models: LoadedModels;
  private importedPrompts = new Set<string>();
  private pastRecords: GenerationRecord[] = [];
  private reports: LoadReport[] = [];
  private timer: NodeJS.Timeout | undefined;
  private nextStepMs = 0;
  private slowness = 1;
  /** True while the engine is paused; a partition only stops the server. */
  private isPaused = false;
  private endFault: StreamEndFault = 'none';

  constructor(private readonly options: EngineOptions) {
    this.cache = this.createCache();
    this.batch = new Batch(options, this.cache, options.clock);
    this.models = new LoadedModels(options);
  }

  get id(): string {
    return this.options.id;
  }

  get port(): number {
    return this.server.port;
  }

  async start(): Promise<void> {
    await this.server.listen();
    this.timer = setInterval(() => this.tick(), STEP_MS);
  }

  async crash(): Promise<void> {
    this.isPaused = false;
    clearInterval(this.timer);
    this.timer = undefined;
    await this.server.crash();
    this.pastRecords.push(...this.batch.records);
    this.cache = this.createCache();
    this.batch = new Batch(this.options, this.cache, this.options.clock);
    this.models = new LoadedModels(this.options);
    this.importedPrompts = new Set();
    this.reports = [];
  }

  async restart(): Promise<void> {
    await this.start();
  }

  pause(): void {
    this.isPaused = true;
    this.server.pause();
  }

  resume(): void {
    this.isPaused = false;
    this.server.resume();
  }

  partition(): void {
    this.server.pause();
  }

  endPartition(): void {
    this.server.resume();
  }

  closeConnections(): void {
    this.server.closeConnections();
  }

  setSlowdown(factor: number): void {
    this.slowness = factor;
  }

  setStreamEndFault(fault: StreamEndFault): void {
    this.endFault = fault;
  }

  records(): GenerationRecord[] {
    return [...this.pastRecords, ...this.batch.records];
  }

  loaded(): ModelVersion[] {
    return this.models.loaded();
  }

  orders(): PlacementOrder[] {
    return this.models.orders;
  }

  async stop(): Promise<void> {
    if (this.timer !== undefined) {
      await this.crash();
    }
  }

  private createCache(): PrefixCache {
    const { cacheBlocks, cacheLagMs, loseCacheEvery, clock } = this.options;
    const options = {
      capacityBlocks: cacheBlocks,
      lagMs: cacheLagMs,
      omitEveryNthEvent: loseCacheEvery,
    };
    return new PrefixCache(options, clock);
  }

  private tick(): void {
    const now = this.options.clock.now();
    if (this.isPaused || now < this.nextStepMs) {
      return;
    }
    this.nextStepMs = now + this.batch.tokenGapMs * this.slowness;
    this.batch.step();
    this.recordReport(now);
  }

  private recordReport(now: number): void {
    this.reports.push({
      takenAtMs: now,
      running: this.batch.running.length,
      waiting: this.batch.waiting,
      slots: this.options.slots,
      tokenGapMs: this.batch.tokenGapMs * this.slowness,
      prefillTokensPerSecond: this.options.prefillTokensPerSecond / this.slowness,
      loaded: this.models.loaded(),
      fence: this.models.fence,
    });
    const publishedUntilMs = now - this.options.reportLagMs;
    while ((this.reports[1]?.takenAtMs ?? Infinity) <= publishedUntilMs) {
      this.reports.shift();
    }
  }

  private register(server: FastifyInstance): void {
    server.post(ENGINE_PATHS.generations, (request, reply) => this.onStart(request, reply));
    server.post(ENGINE_PATHS.attach, (request, reply) => this.onAttach(request, reply));
    server.post(ENGINE_PATHS.cancel, async (request) => this.onCancel(request));
    server.post(ENGINE_PATHS.probe, async (request) => this.onProbe(request));
    server.get(ENGINE_PATHS.load, async () => this.reports[0] ?? { ...EMPTY_REPORT });
    server.get(ENGINE_PATHS.cacheEvents, async (request) => {
      const { after } = request.query as { after: string };
      return { events: this.cache.eventsAfter(Number(after)) };
    });
    server.post(ENGINE_PATHS.exportKv, async (request, reply) => this.onExport(request, reply));
    server.post(ENGINE_PATHS.importKv, async (request) => {
      this.importedPrompts.add((request.body as { copy: string }).copy);
      return {};
    });
    server.post(ENGINE_PATHS.orders, async (request, reply) =>
      this.models.applyOrder(request.body as PlacementOrder) ? {} : reply.code(409).send({}),
    );
  }

  private onStart(request: FastifyRequest, reply: FastifyReply): void {
    const order = request.body as StartOrder;
    if (
      !this.models.isLoaded(order.modelVersion) ||
      this.batch.find(order.generationId) !== undefined
    ) {
      void reply.code(409).send({});
      return;
    }
    const hasImportedKv = this.importedPrompts.delete(order.prompt);
    const accepted = this.batch.add(order, hasImportedKv);
    this.beginStream(reply);
    reply.raw.write(`${JSON.stringify({ kind: 'accepted', ...accepted })}\n`);
    this.stream(order.generationId, order.forcedPrefix.length, reply);
  }

  private onAttach(request: FastifyRequest, reply: FastifyReply): void {
    const { generationId, attempt, fromOffset } = request.body as AttachOrder;
    const generation = this.batch.find(generationId);
    if (generation === undefined) {
      void reply.code(404).send({});
      return;
    }
    if (attempt <= generation.attempt) {
      void reply.code(409).send({});
      return;
    }
    const notifyFencedReader = generation.notifyReader;
    generation.attempt = attempt;
    notifyFencedReader();
    this.beginStream(reply);
    const accepted = { kind: 'accepted', cachedPromptTokens: 0, promptTokens: 0 };
    reply.raw.write(`${JSON.stringify(accepted)}\n`);
    this.stream(generationId, fromOffset, reply);
  }

  private beginStream(reply: FastifyReply): void {
    reply.hijack();
    reply.raw.writeHead(200, { 'content-type': 'application/x-ndjson' });
    reply.raw.on('error', () => undefined);
  }

  private stream(generationId: string, fromOffset: number, reply: FastifyReply): void {
    const generation = this.batch.find(generationId);
    if (generation !== undefined) {
      streamToReader({
        batch: this.batch,
        generation,
        response: reply.raw,
        fromOffset,
        now: () => this.options.clock.now(),
        isPaused: () => this.server.isPaused,
        endFault: () => this.endFault,
      });
    }
  }

  private onCancel(request: FastifyRequest): object {
    const { generationId, attempt } = request.body as AttachOrder;
    const generation = this.batch.find(generationId);
    // A fenced VM must not cancel a generation that another VM reads.
    if (generation !== undefined && attempt >= generation.attempt) {
      this.batch.remove(generation, 'cancelled');
    }
    return {};
  }

  private onProbe(request: FastifyRequest): object {
    const { generationId } = request.body as AttachOrder;
    return { running: this.batch.find(generationId) !== undefined };
  }

  private async onExport(request: FastifyRequest, reply: FastifyReply): Promise<unknown> {
    const { generationId } = request.body as AttachOrder;
    const generation = this.batch.find(generationId);
    return generation === undefined ? reply.code(404).send({}) : { copy: generation.order.prompt };
  }
}

const EMPTY_REPORT: LoadReport = {
  takenAtMs: 0,
  running: 0,
  waiting: 0,
  slots: 0,
  tokenGapMs: 0,
  prefillTokensPerSecond: 1,
  loaded: [],
  fence: 0,
};
