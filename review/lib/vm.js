/** Starts the project's program as the VMs of a small deployment, by the deploy file. */
import { spawn } from 'node:child_process';
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { request } from 'node:http';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';

const ROOT = join(dirname(fileURLToPath(import.meta.url)), '../..');
const METRICS_PORT = 7210;

/** Bounds of a small deployment, as its sheet states them. */
export const BOUNDS = {
  contactMs: 3_000,
  drainMs: 2_000,
  graceS: 8,
  lossSlackMs: 200,
  configApplyMs: 2_000,
  retryBudgetRatio: 0.8,
  retryWindowS: 10,
  budgetSlack: 150,
};

export const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

function readDeployFile() {
  const text = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8');
  return {
    command: /^run = "(.*)"$/m.exec(text)[1].split(' '),
    template: readFileSync(join(ROOT, /^template = "(.*)"$/m.exec(text)[1]), 'utf8'),
  };
}

/** Fills the gaps of the template; all of them have the form {{a.b|json}}. */
function fill(template, fields) {
  return template.replace(/\{\{([\w.]+)\|json\}\}/g, (_, path) => {
    const value = path.split('.').reduce((part, name) => part?.[name], fields);
    return JSON.stringify(value ?? null);
  });
}

async function canListen(host, port) {
  const server = createServer();
  const isFree = await new Promise((resolve) => {
    server.once('error', () => resolve(false));
    server.listen({ host, port }, () => resolve(true));
  });
  await new Promise((resolve) => (isFree ? server.close(resolve) : resolve()));
  return isFree;
}

/** Finds loopback addresses (127.a.b.1 and so on) at which all ports of a VM are free. */
export async function findHosts(count) {
  const ports = { frontend: 8740, readiness: 8749, controlPlane: 8748 };
  for (let tries = 0; tries < 50; tries += 1) {
    const [a, b] = [10 + Math.floor(Math.random() * 200), Math.floor(Math.random() * 250)];
    const hosts = Array.from({ length: count }, (_, index) => `127.${a}.${b}.${index + 1}`);
    const used = [...Object.values(ports), METRICS_PORT];
    const free = await Promise.all(
      hosts.flatMap((host) => used.map((port) => canListen(host, port))),
    );
    if (free.every(Boolean)) {
      return hosts;
    }
  }
  throw new Error('no free loopback addresses');
}

/** One VM; its process is started again by `start` after it has ended. */
export class Vm {
  output = '';

  constructor({ host, zone, seeds, store }) {
    this.host = host;
    this.folder = mkdtempSync(join(tmpdir(), 'review-vm-'));
    const fields = {
      nodeName: `edge-${host}`,
      ip: host,
      zone,
      listen: {
        frontend: `${host}:8740`,
        readiness: `${host}:8749`,
        controlPlane: `${host}:8748`,
      },
      seeds: seeds.map((seed) => `${seed}:8748`),
      bounds: BOUNDS,
      platform: { address: store },
    };
    const { command, template } = readDeployFile();
    this.command = command;
    this.file = join(this.folder, 'settings.jsonc');
    writeFileSync(this.file, fill(template, fields));
  }

  start() {
    const [program, ...parameters] = this.command;
    const { PATH, HOME, LANG } = process.env;
    this.child = spawn(program, parameters, {
      cwd: ROOT,
      env: { PATH, HOME, LANG, LIMELEAD_NODE_FILE: this.file },
      stdio: ['ignore', 'pipe', 'inherit'],
    });
    this.child.stdout.on('data', (chunk) => (this.output += chunk));
    this.hasExited = false;
    this.exited = new Promise((resolve) => this.child.once('exit', resolve));
    void this.exited.then(() => (this.hasExited = true));
  }

  signal(name) {
    this.child.kill(name);
  }

  isReady() {
    return new Promise((resolve) => {
      const asked = request(
        { host: this.host, port: 8749, path: '/readyz', agent: false, timeout: 500 },
        (response) => {
          response.resume();
          resolve(response.statusCode === 200);
        },
      );
      asked.on('timeout', () => asked.destroy());
      asked.on('error', () => resolve(false));
      asked.end();
    });
  }

  /** Resolves when the VM answers readiness checks with 200; false if it does not in time. */
  async becomesReady(withinMs) {
    const untilMs = performance.now() + withinMs;
    while (performance.now() < untilMs) {
      if (await this.isReady()) {
        return true;
      }
      await sleep(50);
    }
    return false;
  }

  /** Log lines of an event, as objects. */
  listLogged(event) {
    return this.output
      .split('\n')
      .filter((line) => line.includes(`"event":"${event}"`))
      .map((line) => JSON.parse(line));
  }

  async remove() {
    if (this.child !== undefined && !this.hasExited) {
      this.child.kill('SIGKILL');
      await this.exited;
    }
    rmSync(this.folder, { recursive: true, force: true });
  }
}
