/** The answers of one VM that wait for their callers: their common limit, log lines and metrics. */
import { createRateLimitedLog, type RateLimitedLog } from '@limelead/decision-log';
import type { ForwardContext } from '@limelead/forward-request';
import type { IncomingMessage, ServerResponse } from 'node:http';
import { totalmem } from 'node:os';
import { getHeapStatistics } from 'node:v8';
import AnswerBufferBudget from './answer-buffer-budget.js';
import computeAnswerBufferLimit from './answer-buffer-limit.js';
import { readRequestId, type IngressDialect } from './ingress-dialect.js';
import ResponseSink, { type AnswerDrop, type ResponseSinkEvents } from './response-sink.js';

/** Creates sinks that share one limit. */
export default class AnswerBuffers {
  private readonly budget: AnswerBufferBudget<ResponseSink>;
  private readonly logDrop: RateLimitedLog;

  /** @param maxBytes limit on the bytes of all answers; follows the VM's memory by default */
  constructor(
    private readonly context: Pick<ForwardContext, 'log' | 'clock' | 'metrics'>,
    private readonly dialect: IngressDialect,
    maxBytes: number = readDefaultLimit(),
  ) {
    const { log, clock, metrics } = context;
    this.budget = new AnswerBufferBudget(maxBytes);
    this.logDrop = createRateLimitedLog(log, clock, 'answer-buffer-full');
    metrics.gauge('limelead_buffered_answer_bytes', () => this.bufferedBytes);
  }

  /** Bytes of all answers, including the memory for their frames. */
  get bufferedBytes(): number {
    return this.budget.bufferedBytes;
  }

  createSink(
    message: IncomingMessage,
    response: ServerResponse,
    events: Omit<ResponseSinkEvents, 'onDropped'>,
  ): ResponseSink {
    return new ResponseSink(message, response, this.budget, {
      ...events,
      onDropped: (drop) => this.recordDrop(message, drop),
    });
  }

  private recordDrop({ rawHeaders }: IncomingMessage, drop: AnswerDrop): void {
    const { outcome } = drop;
    this.context.metrics.count('limelead_answers_dropped_total', 1, { outcome });
    this.logDrop({ requestId: readRequestId(this.dialect, rawHeaders), ...drop });
  }
}

function readDefaultLimit(): number {
  return computeAnswerBufferLimit({
    constrainedBytes: process.constrainedMemory(),
    totalBytes: totalmem(),
    heapLimitBytes: getHeapStatistics().heap_size_limit,
  });
}
