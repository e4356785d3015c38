import { spawn } from 'node:child_process';
import { mkdtempSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { test } from 'uvu';
import * as assert from 'uvu/assert';

const PROGRAM = fileURLToPath(new URL('../bin/limeleadd.js', import.meta.url));
const HOST = '127.0.0.1';
/** Nothing listens there. */
const platform = { host: HOST, port: 9 };
const settings = {
  id: 'vm-1',
  failureDomain: 'north',
  rpc: { host: HOST, port: 0 },
  peers: { host: HOST, port: 0, secret: 'a-secret-of-all-vms', seeds: [] },
  platform: { keyValue: platform, vmList: platform, weights: platform },
  operators: [],
  limits: { maxOpenRequests: 10, maxPromptCharacters: 100, maxTokens: 10, maxCallBytes: 100 },
  timing: {
    ...{ listPollMs: 300, loadPollMs: 250, maxListAgeMs: 3_000, heartbeatMs: 300 },
    ...{ configurationWaitMs: 500, abandonedGraceMs: 500, leaveBalancerMs: 500, drainMs: 500 },
  },
  log: { level: 'info' },
};
const THROW_ON_SIGNAL =
  "data:text/javascript,process.on('SIGUSR2',()=>{throw new Error('thrown in an event')})";

// Guards against an exception in an event that cuts all requests of its VM.
test('an exception that nothing catches is logged and counted, and the daemon drains and ends', async () => {
  const file = join(mkdtempSync(join(tmpdir(), 'limeleadd-')), 'settings.jsonc');
  writeFileSync(file, JSON.stringify(settings));
  const flags = ['--import', THROW_ON_SIGNAL, PROGRAM, '--settings', file];
  const child = spawn(process.execPath, flags, { stdio: ['ignore', 'ignore', 'pipe'] });
  const exited = new Promise((resolve) => child.once('exit', resolve));
  let log = '';
  const readLog = (pattern: RegExp): Promise<RegExpExecArray | undefined> =>
    new Promise((resolve) => {
      child.stderr.on('data', () => {
        const match = pattern.exec(log);
        if (match !== null) {
          resolve(match);
        }
      });
      child.stderr.once('end', () => resolve(undefined));
    });
  child.stderr.on('data', (chunk) => (log += String(chunk)));
  const serving = await readLog(/"rpcPort":(\d+)/);
  const leaving = readLog(/leaving the balancer/);
  child.kill('SIGUSR2');
  assert.ok((await leaving) !== undefined, log);
  const metrics = await (await fetch(`http://${HOST}:${serving?.[1]}/metrics`)).text();
  assert.match(metrics, /limelead_faults_total\{boundary="process"\} 1/);
  assert.is(await exited, 1);
  assert.match(log, /uncaught exception/);
  assert.match(log, /thrown in an event/);
  assert.match(log, /"message":"stopped"/);
});

test.run();
