/** Runs a daemon and its stand-ins as separate processes, so that their costs can be measured separately. */
import { create } from '@bufbuild/protobuf';
import { createClient } from '@limelead/client';
import {
  createDemoResources,
  createSettings,
  DEMO_KEYS,
  DEMO_VERSIONS,
  findFreePort,
  toOperations,
} from '@limelead/demo';
import { ApplyRequestSchema } from '@limelead/schema';
import type { EngineOptions } from '@limelead/stand-ins';
import { delay, systemTimers, type RecoveryPolicy, type Resource } from '@limelead/types';
import { spawn, type ChildProcess } from 'node:child_process';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { createInterface } from 'node:readline';
import { fileURLToPath } from 'node:url';

const DAEMON = fileURLToPath(new URL('../../daemon/bin/limeleadd.js', import.meta.url));
const STAND_INS = fileURLToPath(
  new URL('../../stand-ins/bin/limelead-stand-ins.js', import.meta.url),
);
const READY_CHECK_MS = 30;
const HOST = '127.0.0.1';
const MAX_WAIT_MS = 60_000;
const SLOW_RECOVERY: RecoveryPolicy = {
  suspicionFactor: 100,
  minSilenceMs: MAX_WAIT_MS,
  maxSilenceMs: MAX_WAIT_MS,
  hedge: false,
  probeFirst: false,
};

/** A daemon and its stand-ins, each in its own process. */
export interface DaemonProcesses {
  /** Base URL of the daemon. */
  url: string;
  platformPort: number;
  /** Reads a metric from the daemon's metrics page; 0 if it is missing. */
  readGauge(name: string): Promise<number>;
  stop(): Promise<void>;
}

/** Starts a daemon and stand-ins with one engine; resolves when the daemon is ready. */
export default async function startDaemonAndStandIns(
  engine: Partial<EngineOptions>,
): Promise<DaemonProcesses> {
  const folder = mkdtempSync(join(tmpdir(), 'limelead-measure-'));
  const children: ChildProcess[] = [];
  const start = (file: string, ...args: string[]): ChildProcess => {
    const child = spawn(process.execPath, [file, ...args], {
      stdio: ['ignore', 'pipe', 'inherit'],
    });
    children.push(child);
    return child;
  };
  const plan = { engines: 1, plainServices: [], loaded: Object.values(DEMO_VERSIONS), engine };
  const { platformPort } = JSON.parse(await readLine(start(STAND_INS, JSON.stringify(plan)))) as {
    platformPort: number;
  };
  const settings = createSettings({ id: 'vm-1', failureDomain: 'd1', platformPort, seeds: [] });
  const port = await findFreePort();
  const file = join(folder, 'vm-1.jsonc');
  const limits = { ...settings.limits, maxOpenRequests: 100_000 };
  writeFileSync(file, JSON.stringify({ ...settings, limits, rpc: { host: HOST, port } }));
  start(DAEMON, '--settings', file);
  const url = `http://${HOST}:${port}`;
  await waitForStatus(`${url}/readyz`, (status) => status !== 0);
  await applyResources(url);
  await waitForStatus(`${url}/readyz`, (status) => status === 200);

  return {
    url,
    platformPort,
    async readGauge(name) {
      const page = await (await fetch(`${url}/metrics`)).text();
      const line = page.split('\n').find((candidate) => candidate.startsWith(`${name} `));
      return Number(line?.split(' ')[1] ?? 0);
    },
    async stop() {
      await Promise.all(children.map(killProcess));
      rmSync(folder, { recursive: true });
    },
  };
}

/** Kills a process and waits until it has exited. */
export function killProcess(child: ChildProcess): Promise<void> {
  return new Promise((resolve) => {
    child.once('close', () => resolve());
    child.kill('SIGKILL');
  });
}

/** Resolves with the first line of a process's output. */
export function readLine(child: ChildProcess): Promise<string> {
  const { stdout } = child;
  if (stdout === null) {
    throw new Error('the process has no readable output');
  }
  return new Promise((resolve) => createInterface({ input: stdout }).once('line', resolve));
}

async function applyResources(url: string): Promise<void> {
  const client = createClient({ urls: [url], key: DEMO_KEYS.operator });
  const operations = toOperations(createDemoResources().map(removeLimits));
  await client.administration.apply(
    create(ApplyRequestSchema, { changeId: 'setup', operations, reason: 'measure' }),
    { headers: client.headers },
  );
  await client.close();
}

/** Removes limits and early recoveries, which would distort the measured costs. */
function removeLimits(resource: Resource): Resource {
  switch (resource.kind) {
    case 'organisation':
      return {
        kind: 'organisation',
        spec: { ...resource.spec, maxConcurrent: 100_000, requestsPerSecond: 100_000 },
      };
    case 'priority':
      return {
        kind: 'priority',
        spec: { ...resource.spec, recovery: SLOW_RECOVERY, maxQueueMs: MAX_WAIT_MS },
      };
    default:
      return resource;
  }
}

async function waitForStatus(url: string, isExpected: (status: number) => boolean): Promise<void> {
  for (;;) {
    const status = await fetch(url)
      .then(async (response) => (await response.arrayBuffer(), response.status))
      .catch(() => 0);
    if (isExpected(status)) {
      return;
    }
    await delay(systemTimers, READY_CHECK_MS);
  }
}
