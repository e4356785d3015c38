/**
 * Random faults must neither lose, repeat nor mix tokens. Each token names its
 * predecessor, so that tokens of different generations cannot form one chain.
 */
import type { GenerationRequest } from '@limelead/types';
import fc from 'fast-check';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import advanceSession, { createSession, type SessionCommand, type SessionEvent } from './index.js';
import { RECORDED_REQUEST } from './replay.fixture.js';

const ANSWER_TOKENS = 12;
const RUN_COUNT = 2_000;

/** Generation at an engine that continues its forced prefix. */
interface SimulatedGeneration {
  tokens: string[];
}

/** Reader of a generation; cancelled readers may still send tokens. */
interface SimulatedReader {
  attempt: number;
  generation: SimulatedGeneration;
  offset: number;
}

/** Engines, a caller and a session, driven by random numbers. */
class Simulation {
  readonly delivered: string[] = [];
  readonly finished: number[] = [];
  failed = false;
  private readonly generations = new Map<string, SimulatedGeneration>();
  private readonly readers: SimulatedReader[] = [];
  private state;
  private now = 0;

  constructor(request: GenerationRequest) {
    this.state = createSession(request, 'g', 0);
    this.handle({ kind: 'begin', tries: 0, delivered: 0 });
  }

  get isDone(): boolean {
    return this.state.phase === 'done';
  }

  /** Sends tokens, a break, a silence or an early end from any current or former reader. */
  injectEvent(eventNumber: number, readerNumber: number): void {
    this.now += 10;
    const reader = this.readers[readerNumber % Math.max(1, this.readers.length)];
    if (reader === undefined) {
      return;
    }
    const { attempt } = reader;
    switch (eventNumber % 8) {
      case 0:
        return this.handle({ kind: 'broken', attempt, cause: 'link-broken' });
      case 1:
        return this.handle({ kind: 'silent', attempt });
      case 2:
        return this.handle({ kind: 'ended', attempt, length: reader.offset, reason: 'stop' });
      case 3:
        return this.handle({ kind: 'broken', attempt, cause: 'target-gone' });
      default:
        return this.sendTokens(reader, 1 + (eventNumber % 3));
    }
  }

  private sendTokens(reader: SimulatedReader, count: number): void {
    const { generation, attempt, offset } = reader;
    while (generation.tokens.length < Math.min(ANSWER_TOKENS, offset + count)) {
      generation.tokens.push(createNextToken(generation.tokens));
    }
    const tokens = generation.tokens.slice(offset, offset + count);
    reader.offset += tokens.length;
    this.handle({ kind: 'tokens', attempt, offset, tokens });
    if (reader.offset === ANSWER_TOKENS) {
      this.handle({ kind: 'ended', attempt, length: ANSWER_TOKENS, reason: 'stop' });
    }
  }

  private handle(event: SessionEvent): void {
    const { state, commands } = advanceSession(this.state, event, this.now);
    this.state = state;
    commands.forEach((command) => this.execute(command));
  }

  private execute(command: SessionCommand): void {
    switch (command.kind) {
      case 'choose-target': {
        const { attempt } = command;
        const binding = { modelVersion: { model: 'm', adapter: '', version: '1' }, seed: attempt };
        return this.handle({ kind: 'target-chosen', attempt, targetId: `e${attempt}`, binding });
      }
      case 'start': {
        const { attempt, generationId, prefixLength } = command;
        const generation = { tokens: this.delivered.slice(0, prefixLength) };
        this.generations.set(generationId, generation);
        this.readers.push({ attempt, generation, offset: prefixLength });
        return this.handle({ kind: 'opened', attempt, promptTokens: 3 });
      }
      case 'attach': {
        const { attempt, generationId, fromOffset } = command;
        const generation = this.generations.get(generationId);
        if (generation === undefined) {
          return this.handle({ kind: 'broken', attempt, cause: 'target-gone' });
        }
        this.readers.push({ attempt, generation, offset: fromOffset });
        return this.handle({ kind: 'opened', attempt, promptTokens: 0 });
      }
      case 'send':
        return this.receive(command);
      case 'fail':
        this.failed = true;
        return undefined;
      default:
        return undefined;
    }
  }

  private receive({ message }: Extract<SessionCommand, { kind: 'send' }>): void {
    if (message.kind === 'tokens') {
      assert.is(message.offset, this.delivered.length, 'each token is delivered once and in order');
      this.delivered.push(...message.tokens);
    }
    if (message.kind === 'finished') {
      this.finished.push(message.length);
    }
  }
}

let tokenCount = 0;

/** Creates a unique token that names its predecessor. */
function createNextToken(before: string[]): string {
  tokenCount += 1;
  return `${tokenCount}<${before.at(-1)?.split('<')[0] ?? 'start'}`;
}

function isTokenChain(tokens: string[]): boolean {
  return tokens.every((token, index) => {
    const previous = index === 0 ? 'start' : tokens[index - 1]?.split('<')[0];
    return token.split('<')[1] === previous;
  });
}

const eventSequences = fc.array(fc.tuple(fc.nat(999), fc.nat(999)), { maxLength: 120 });

test('random faults never lose, repeat or mix tokens of an answer', () => {
  fc.assert(
    fc.property(eventSequences, fc.boolean(), (steps, hedge) => {
      const { priority } = RECORDED_REQUEST;
      const recovery = { ...priority.recovery, hedge };
      const request = { ...RECORDED_REQUEST, maxTokens: 20, priority: { ...priority, recovery } };
      const simulation = new Simulation(request);
      steps.forEach(([eventNumber, readerNumber]) =>
        simulation.injectEvent(eventNumber, readerNumber),
      );
      assert.ok(isTokenChain(simulation.delivered), simulation.delivered.join(' '));
      assert.ok(simulation.finished.length <= 1);
      if (simulation.finished.length === 1) {
        assert.is(simulation.finished[0], simulation.delivered.length);
      }
    }),
    { seed: 20261202, numRuns: RUN_COUNT },
  );
});

test('the chain check detects tokens mixed from two generations', () => {
  // Mixes two hedged attempts by token offset alone.
  const first = { tokens: [] as string[] };
  const second = { tokens: [] as string[] };
  for (const generation of [first, second]) {
    for (let index = 0; index < 3; index += 1) {
      generation.tokens.push(createNextToken(generation.tokens));
    }
  }
  const mixed = [first.tokens[0] ?? '', second.tokens[1] ?? '', first.tokens[2] ?? ''];
  assert.not.ok(isTokenChain(mixed));
});

test.run();
