/**
 * Differential test: random faults against a session, checked by the naive
 * definition of one answer. A token is named after the generation that made it
 * and the tokens before it, so that any mixture shows.
 */
import type { GenerationRequest } from '@limelead/types';
import fc from 'fast-check';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import advanceSession, { createSession, type SessionCommand, type SessionEvent } from './index.js';
import { RECORDED_REQUEST } from './replay.fixture.js';

const ANSWER_LENGTH = 12;
const RUNS = 2_000;

/** One generation at an engine: it continues its forced prefix and nothing else. */
interface SimulatedGeneration {
  tokens: string[];
}

/** A reader of a generation; several may exist, and old ones may wake up at any time. */
interface SimulatedReader {
  attempt: number;
  generation: SimulatedGeneration;
  offset: number;
}

/** Engines, callers and a session, driven by drawn numbers. */
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

  /** One thing happens: a token, a break, a silence, or a reader from the past wakes up. */
  happen(what: number, which: number): void {
    this.now += 10;
    const reader = this.readers[which % Math.max(1, this.readers.length)];
    if (reader === undefined) {
      return;
    }
    const { attempt } = reader;
    switch (what % 8) {
      case 0:
        return this.handle({ kind: 'broken', attempt, cause: 'link-broken' });
      case 1:
        return this.handle({ kind: 'silent', attempt });
      case 2:
        return this.handle({ kind: 'ended', attempt, length: reader.offset, reason: 'stop' });
      case 3:
        return this.handle({ kind: 'broken', attempt, cause: 'target-gone' });
      default:
        return this.sendTokens(reader, 1 + (what % 3));
    }
  }

  private sendTokens(reader: SimulatedReader, count: number): void {
    const { generation, attempt, offset } = reader;
    while (generation.tokens.length < Math.min(ANSWER_LENGTH, offset + count)) {
      generation.tokens.push(nextToken(generation.tokens));
    }
    const tokens = generation.tokens.slice(offset, offset + count);
    reader.offset += tokens.length;
    this.handle({ kind: 'tokens', attempt, offset, tokens });
    if (reader.offset === ANSWER_LENGTH) {
      this.handle({ kind: 'ended', attempt, length: ANSWER_LENGTH, reason: 'stop' });
    }
  }

  private handle(event: SessionEvent): void {
    const { state, commands } = advanceSession(this.state, event, this.now);
    this.state = state;
    commands.forEach((command) => this.carryOut(command));
  }

  private carryOut(command: SessionCommand): void {
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
      assert.is(message.offset, this.delivered.length, 'each token comes once and in order');
      this.delivered.push(...message.tokens);
    }
    if (message.kind === 'finished') {
      this.finished.push(message.length);
    }
  }
}

let drawn = 0;

/** Every token differs from any other and names the one before, like a link of a chain. */
function nextToken(before: string[]): string {
  drawn += 1;
  return `${drawn}<${before.at(-1)?.split('<')[0] ?? 'start'}`;
}

function isChain(tokens: string[]): boolean {
  return tokens.every((token, index) => {
    const previous = index === 0 ? 'start' : tokens[index - 1]?.split('<')[0];
    return token.split('<')[1] === previous;
  });
}

const happenings = fc.array(fc.tuple(fc.nat(999), fc.nat(999)), { maxLength: 120 });

test('whatever breaks, the answer is one chain of tokens', () => {
  fc.assert(
    fc.property(happenings, fc.boolean(), (steps, hedge) => {
      const { priority } = RECORDED_REQUEST;
      const recovery = { ...priority.recovery, hedge };
      const request = { ...RECORDED_REQUEST, maxTokens: 20, priority: { ...priority, recovery } };
      const simulation = new Simulation(request);
      steps.forEach(([what, which]) => simulation.happen(what, which));
      assert.ok(isChain(simulation.delivered), simulation.delivered.join(' '));
      assert.ok(simulation.finished.length <= 1);
      if (simulation.finished.length === 1) {
        assert.is(simulation.finished[0], simulation.delivered.length);
      }
    }),
    { seed: 20261202, numRuns: RUNS },
  );
});

test('the naive relay, which takes the next offset from anybody, mixes generations', () => {
  // The check above has to be able to fail: two hedged attempts, taken by offset alone.
  const first = { tokens: [] as string[] };
  const second = { tokens: [] as string[] };
  for (const generation of [first, second]) {
    for (let index = 0; index < 3; index += 1) {
      generation.tokens.push(nextToken(generation.tokens));
    }
  }
  const mixed = [first.tokens[0] ?? '', second.tokens[1] ?? '', first.tokens[2] ?? ''];
  assert.not.ok(isChain(mixed));
});

test.run();
