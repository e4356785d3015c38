import { SeededDraws } from '@limelead/stand-ins';
import type { ServiceTarget } from '@limelead/types';
import { setTimeout as sleep } from 'node:timers/promises';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import FaultyTarget from './faulty-target.fixture.js';
import type { OpenCall, TargetConnections } from './index.js';
import { planAnswer } from './random-answer.fixture.js';
import { collectUncaught, createConnections, send, startTarget } from './target.fixture.js';

const SEED = Number(process.env['FUZZ_SEED'] ?? 1);
const CASES = Number(process.env['FUZZ_CASES'] ?? 600);
const LANES = 16;
const CALLS_PER_CASE = 3;
/** Time after which a call without an end is cancelled. */
const PATIENCE_MS = 40;
/** Time in which events after the last one would come. */
const AFTERMATH_MS = 5;
const MAX_IDLE_MS = 1_000;
/** Most bytes of an answer without end until its call is cancelled, with what its connection holds. */
const MAX_ENDLESS_BYTES = 10e6;
const BODIES = [0, 2, 2, 2, 500_000].map((bytes) => Buffer.alloc(bytes, 'b'));

/** How a call stands. */
type State = 'waiting' | 'body' | 'paused' | 'idle';

/** Calls with their states, and what their targets did in these. */
class Fuzz {
  readonly seen = new Map<string, number>();
  readonly faults: string[] = [];
  mostEndlessBytes = 0;
  readonly counts = { ended: 0, faulted: 0, cancelled: 0 };

  constructor(
    private readonly connections: TargetConnections,
    private readonly sound: ServiceTarget,
  ) {}

  /** Calls one faulty target a few times, and a sound one after each call. */
  async runCase(number: number): Promise<void> {
    const draws = new SeededDraws(SEED * 1_000_003 + number);
    const beginnings = (['reset', 'close', 'halfClose'] as const).map((ending) =>
      draws.isWithin(0.1) ? ending : 'keep',
    );
    const answers = Array.from({ length: CALLS_PER_CASE }, () => planAnswer(draws));
    let state: State = 'waiting';
    const faulty = await FaultyTarget.start({ beginnings, answers }, (ending, isNew) => {
      const event = `${ending} while ${isNew ? 'connecting' : state}`;
      this.seen.set(event, (this.seen.get(event) ?? 0) + 1);
    });
    const target = { ...this.sound, id: `faulty-${number}`, port: faulty.port };
    for (let call = 0; call < CALLS_PER_CASE; call += 1) {
      state = 'waiting';
      await this.call(draws, target, `${number}.${call}`, (next) => (state = next));
      state = 'idle';
      const { body, fault } = await send(this.connections, this.sound, MAX_IDLE_MS);
      if (body !== 'sound' || fault !== undefined) {
        this.faults.push(`${number}.${call}: the sound call got ${body} ${fault?.message ?? ''}`);
      }
    }
    this.mostEndlessBytes = Math.max(this.mostEndlessBytes, faulty.mostEndlessBytes);
    await faulty.stop();
    this.connections.closeIdle(target.id);
  }

  private async call(
    draws: SeededDraws,
    target: ServiceTarget,
    name: string,
    setState: (state: State) => void,
  ): Promise<void> {
    const ends: string[] = [];
    let finish = (): void => undefined;
    const finished = new Promise<void>((resolve) => (finish = resolve));
    const end = (how: keyof typeof this.counts): void => {
      ends.push(how);
      this.counts[how] += 1;
      finish();
    };
    const onPart = (pauseShare: number): void => {
      if (ends.length > 0) {
        this.faults.push(`${name}: an event after ${ends.join()}`);
      }
      setState('body');
      if (draws.isWithin(pauseShare) && open.pause()) {
        setState('paused');
        const resumeMs = draws.below(8);
        setTimeout(() => {
          setState('body');
          open.resume();
        }, resumeMs);
      }
      if (draws.isWithin(0.02)) {
        cancel();
      }
    };
    const method = draws.pick(['GET', 'POST', 'POST', 'HEAD']);
    const body = method === 'POST' ? draws.pick(BODIES) : Buffer.alloc(0);
    const open: OpenCall = this.connections.send(
      target,
      { method, path: `/${name}`, headers: ['Host', 'x'], body },
      { maxIdleMs: MAX_IDLE_MS },
      {
        onHead: () => onPart(0.4),
        onData: () => onPart(0.3),
        onEnd: () => end('ended'),
        onFault: () => end('faulted'),
      },
    );
    const cancel = (): void => {
      if (ends.length === 0) {
        open.cancel();
        end('cancelled');
      }
    };
    const timer = setTimeout(cancel, draws.isWithin(0.1) ? draws.below(10) : PATIENCE_MS);
    await finished;
    clearTimeout(timer);
    await sleep(draws.below(AFTERMATH_MS));
    if (ends.length !== 1) {
      this.faults.push(`${name}: ended as ${ends.join()}`);
    }
  }
}

// Guards against bytes of a target that end the process or touch another call.
test('no bytes, pause or close of a connection end the process or more than its own call', async () => {
  const uncaught = collectUncaught();
  const sound = await startTarget((socket) =>
    socket.write('HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nsound'),
  );
  const connections = createConnections();
  const fuzz = new Fuzz(connections, sound.target);
  let next = 0;
  const runLane = async (): Promise<void> => {
    while (next < CASES) {
      await fuzz.runCase(next++);
    }
  };
  await Promise.all(Array.from({ length: LANES }, runLane));
  connections.closeAll();
  await sleep(AFTERMATH_MS);
  await sound.stop();
  uncaught.stop();
  if (process.env['FUZZ_SEED'] !== undefined) {
    console.log(fuzz.counts, fuzz.seen, fuzz.mostEndlessBytes, uncaught.exceptions);
  }
  assert.equal(uncaught.exceptions, []);
  assert.equal(fuzz.faults, []);
  const { mostEndlessBytes } = fuzz;
  assert.ok(
    mostEndlessBytes > 0 && mostEndlessBytes < MAX_ENDLESS_BYTES,
    `${mostEndlessBytes} bytes`,
  );
  assert.ok(Object.values(fuzz.counts).every((count) => count > 0));
  for (const ending of ['reset', 'halfClose', 'close']) {
    for (const state of ['connecting', 'waiting', 'body', 'paused', 'idle']) {
      assert.ok(fuzz.seen.has(`${ending} while ${state}`), `${ending} while ${state}`);
    }
  }
});

test.run();
