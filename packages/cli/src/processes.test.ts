/** Tests daemons, stand-ins and commands as separate processes, with signals that kill or freeze them. */
import {
  DEMO_KEYS,
  DEMO_VERSIONS,
  createDemoResources,
  createSettings,
  findFreePort,
} from '@limelead/demo';
import { answerLength, tokenAt } from '@limelead/stand-ins';
import { spawn, type ChildProcess } from 'node:child_process';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { createInterface } from 'node:readline';
import { fileURLToPath } from 'node:url';
import { test } from 'uvu';
import * as assert from 'uvu/assert';

const BINARIES = {
  limelead: '../bin/limelead.js',
  limeleadd: '../../daemon/bin/limeleadd.js',
  standIns: '../../stand-ins/bin/limelead-stand-ins.js',
} as const;

const READY_CHECK_MS = 50;
/** Shorter than a daemon takes to leave the balancer. */
const SIGNAL_INTERVAL_MS = 100;
const MAX_TOKENS = 200;
const PROMPT = 'shift route brief';

/** A child process whose standard output is read line by line. */
class Program {
  readonly process: ChildProcess;
  readonly lines: string[] = [];
  readonly exited: Promise<number>;
  stderrText = '';
  private lineWaiters: (() => void)[] = [];

  constructor(name: keyof typeof BINARIES, args: string[], flags: string[] = []) {
    const file = fileURLToPath(new URL(BINARIES[name], import.meta.url));
    this.process = spawn(process.execPath, [...flags, file, ...args], {
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    this.process.stderr?.on('data', (data) => (this.stderrText += String(data)));
    const { stdout } = this.process;
    assert.ok(stdout);
    createInterface({ input: stdout }).on('line', (line) => {
      this.lines.push(line);
      this.lineWaiters.splice(0).forEach((notify) => notify());
    });
    this.exited = new Promise((resolve) =>
      this.process.once('close', (code) => {
        this.lineWaiters.splice(0).forEach((notify) => notify());
        resolve(code ?? -1);
      }),
    );
  }

  /** Resolves when a line of the log has the message. Rejects if the process exits before. */
  async waitForLog(message: string): Promise<void> {
    while (!this.stderrText.includes(`"message":"${message}"`)) {
      const { exitCode, signalCode } = this.process;
      assert.equal([exitCode, signalCode], [null, null], `exited early: ${this.stderrText}`);
      await new Promise((resolve) => setTimeout(resolve, READY_CHECK_MS));
    }
  }

  async readLine(index: number): Promise<string> {
    for (;;) {
      const line = this.lines[index];
      if (line !== undefined) {
        return line;
      }
      assert.is(this.process.exitCode, null, `exited early: ${this.stderrText}`);
      await new Promise<void>((resolve) => this.lineWaiters.push(resolve));
    }
  }
}

interface TestSystem {
  daemons: Program[];
  urls: string[];
  start(name: keyof typeof BINARIES, ...args: string[]): Program;
}

async function withSystem(run: (system: TestSystem) => Promise<void>): Promise<void> {
  const folder = mkdtempSync(join(tmpdir(), 'limelead-'));
  const programs: Program[] = [];
  const start: TestSystem['start'] = (name, ...args) => {
    const program = new Program(name, args);
    programs.push(program);
    return program;
  };
  try {
    const plan = {
      engines: 2,
      plainServices: [{ service: 'booking', count: 1 }],
      loaded: Object.values(DEMO_VERSIONS),
    };
    const standIns = start('standIns', JSON.stringify(plan));
    const { platformPort } = JSON.parse(await standIns.readLine(0)) as { platformPort: number };
    const urls: string[] = [];
    const daemons: Program[] = [];
    for (const id of ['vm-1', 'vm-2']) {
      const settings = createSettings({ id, failureDomain: 'suwon', platformPort, seeds: [] });
      const rpc = { host: '127.0.0.1', port: await findFreePort() };
      const file = join(folder, `${id}.jsonc`);
      writeFileSync(file, JSON.stringify({ ...settings, rpc, log: { level: 'info' } }));
      daemons.push(start('limeleadd', '--settings', file));
      urls.push(`http://127.0.0.1:${rpc.port}`);
    }
    await applyConfiguration(start, folder, urls[0] ?? '');
    await Promise.all(urls.map(waitUntilReady));
    await run({ daemons, urls, start });
  } finally {
    programs.forEach((program) => program.process.kill('SIGKILL'));
    await Promise.all(programs.map((program) => program.exited));
    rmSync(folder, { recursive: true });
  }
}

async function applyConfiguration(
  start: TestSystem['start'],
  folder: string,
  url: string,
): Promise<void> {
  await waitForResponse(`${url}/readyz`);
  const file = join(folder, 'change.jsonc');
  const operations = createDemoResources().map((put) => ({ put }));
  writeFileSync(file, JSON.stringify({ reason: 'set up', operations }));
  const apply = start('limelead', 'apply', file, '--url', url, '--key', DEMO_KEYS.operator);
  assert.is(await apply.exited, 0);
  assert.equal(apply.lines, ['revision 1']);
}

async function waitForResponse(url: string): Promise<void> {
  while ((await getHttpStatus(url)) === 0) {
    await new Promise((resolve) => setTimeout(resolve, READY_CHECK_MS));
  }
}

async function waitUntilReady(url: string): Promise<void> {
  while ((await getHttpStatus(`${url}/readyz`)) !== 200) {
    await new Promise((resolve) => setTimeout(resolve, READY_CHECK_MS));
  }
}

async function getHttpStatus(url: string): Promise<number> {
  try {
    const response = await fetch(url);
    await response.arrayBuffer();
    return response.status;
  } catch {
    return 0;
  }
}

interface PrintedEvent {
  kind: string;
  started?: { seed: string };
  offset?: number;
  tokens?: string[];
}

/** Streams an answer with the command, injects a fault into the first VM, and checks every token. */
async function generateWithFault(
  system: TestSystem,
  injectFault: (daemon: Program) => void,
): Promise<void> {
  const [daemon] = system.daemons;
  assert.ok(daemon);
  const url = system.urls.join(',');
  const command = system.start(
    'limelead',
    ...['generate', 'route-brief', PROMPT, '--max-tokens', String(MAX_TOKENS), '--json'],
    ...['--url', url, '--key', DEMO_KEYS.routing],
  );
  let isFaultInjected = false;
  let seed = 0;
  const tokens: string[] = [];
  for (let index = 0; ; index += 1) {
    const event = JSON.parse(await command.readLine(index)) as PrintedEvent;
    seed = event.started === undefined ? seed : Number(event.started.seed);
    tokens.push(...(event.tokens ?? []));
    if (tokens.length > 20 && !isFaultInjected) {
      isFaultInjected = true;
      injectFault(daemon);
    }
    if (event.kind === 'finished') {
      break;
    }
  }
  assert.is(await command.exited, 0);
  const source = { prompt: PROMPT, modelVersion: DEMO_VERSIONS.brief, seed };
  const expected = Array.from({ length: answerLength(source, MAX_TOKENS) }, (_, position) =>
    tokenAt(source, position),
  );
  assert.equal(tokens, expected);
}

test('an answer is complete and unchanged after its VM is killed', () =>
  withSystem((system) => generateWithFault(system, ({ process }) => process.kill('SIGKILL'))));

test('an answer is complete after its VM is frozen, and the VM becomes ready again when it continues', () =>
  withSystem(async (system) => {
    await generateWithFault(system, ({ process }) => process.kill('SIGSTOP'));
    system.daemons[0]?.process.kill('SIGCONT');
    await waitUntilReady(system.urls[0] ?? '');
  }));

test('on SIGTERM the answer continues and the daemon exits with code 0', () =>
  withSystem(async (system) => {
    await generateWithFault(system, ({ process }) => process.kill('SIGTERM'));
    assert.is(await system.daemons[0]?.exited, 0);
  }));

for (const second of ['SIGTERM', 'SIGINT'] as const) {
  test(`a ${second} after a SIGTERM ends the daemon before its stop is over`, () =>
    withSystem(async ({ daemons: [daemon] }) => {
      assert.ok(daemon);
      daemon.process.kill('SIGTERM');
      await new Promise((resolve) => setTimeout(resolve, SIGNAL_INTERVAL_MS));
      daemon.process.kill(second);
      assert.is(await daemon.exited, 0);
      assert.match(daemon.stderrText, '"message":"stopped"');
    }));
}

test('the exit codes of the commands tell success, refusal and wrong usage apart', () =>
  withSystem(async ({ start, urls }) => {
    const url = urls[0] ?? '';
    const asHaneul = ['--url', url, '--key', DEMO_KEYS.haneul];
    const asOperator = ['--url', url, '--key', DEMO_KEYS.operator];
    const call = ['call', 'booking', 'book-room', '--request-id', 'b1'];
    const exitOf = (...args: string[]) => start('limelead', ...args).exited;
    assert.is(await exitOf(...call, ...asHaneul), 0);
    assert.is(await exitOf('status', ...asOperator), 0);
    assert.is(await exitOf('get', 'service', '--json', ...asOperator), 0);
    assert.is(await exitOf('audit', ...asOperator), 0);
    assert.is(await exitOf('generate', 'nowhere', 'x', ...asHaneul), 3);
    assert.is(await exitOf('status', '--url', url), 2);
    assert.is(await exitOf('no-such-command'), 2);
    assert.is(await exitOf('demo', '--fault', 'no-such-fault'), 2);
  }));

test('the daemon checks its settings and exits with code 2 if they are invalid', async () => {
  const example = fileURLToPath(new URL('../../../examples/limelead.jsonc', import.meta.url));
  const good = new Program('limeleadd', ['--settings', example, '--check']);
  assert.is(await good.exited, 0);
  const bad = new Program('limeleadd', ['--settings', '/no/such/file', '--check']);
  assert.is(await bad.exited, 2);
});

for (const signal of ['SIGHUP', 'SIGTERM', 'SIGINT'] as const) {
  test(`a ${signal} ends the daemon while its modules load`, async () => {
    const folder = mkdtempSync(join(tmpdir(), 'limelead-'));
    const settings = createSettings({
      ...{ id: 'vm-1', failureDomain: 'suwon', seeds: [] },
      platformPort: await findFreePort(),
    });
    const file = join(folder, 'vm-1.jsonc');
    writeFileSync(file, JSON.stringify({ ...settings, log: { level: 'info' } }));
    const fixture = new URL(`./signal-at-load.fixture.js?${signal}`, import.meta.url);
    const daemon = new Program('limeleadd', ['--settings', file], ['--import', fixture.href]);
    if (signal === 'SIGHUP') {
      await daemon.waitForLog('serving');
      daemon.process.kill('SIGTERM');
    }
    assert.is(await daemon.exited, 0);
    assert.match(daemon.stderrText, '"message":"stopped"');
    rmSync(folder, { recursive: true });
  });
}

test.run();
