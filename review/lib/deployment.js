/** A small deployment on loopback: the store, model workers, and the VMs as processes. */
import { writeFileSync } from 'node:fs';
import createConfiguration, { SERVICE } from './configuration.js';
import Engine from './engine.js';
import Store from './store.js';
import { BOUNDS, findHosts, sleep, Vm } from './vm.js';

/** Zones of the seven machines, as on the sheet. */
export const ZONES = [
  ...['depot-north', 'depot-north', 'depot-north', 'depot-south', 'depot-south'],
  ...['civic-hall', 'civic-hall'],
];
const ENGINE_COUNT = 7;
const SEED_COUNT = 3;
const READY_WITHIN_MS = 20_000;

/** Collects the lines of `record.txt`, each with its time. */
export class Record {
  #lines = [];
  #startedAt = performance.now();

  /** Milliseconds since the start of the case. */
  at(time = performance.now()) {
    return Math.round(time - this.#startedAt);
  }

  add(text) {
    this.#lines.push(`${String(this.at()).padStart(6)} ms  ${text}`);
  }

  write(file) {
    writeFileSync(file, `${this.#lines.join('\n')}\n`);
  }
}

/**
 * Plays a case in a deployment and ends all processes.
 * @param createBehaviour behaviour of each worker by its id, see `Engine`
 * @param play gets the VMs once they are ready and in touch; returns the exit code
 */
export async function playInDeployment({ createBehaviour, onWorkerEvent, play }) {
  const hosts = await findHosts(ZONES.length + 1);
  const platformHost = hosts.at(-1);
  const store = await Store.start(platformHost, 8742);
  const engines = Array.from({ length: ENGINE_COUNT }, (_, index) => {
    const id = `i-e${index}`;
    const behaviour = createBehaviour(id);
    const place = { zone: ZONES[index], host: platformHost };
    return new Engine({ id, service: SERVICE, ...place, behaviour, onEvent: onWorkerEvent });
  });
  await Promise.all(engines.map((engine) => engine.start()));
  store.put('op/config', createConfiguration(7));
  engines.forEach((engine) => store.put(`servers/${engine.id}`, engine.createEntry()));
  const seeds = hosts.slice(0, SEED_COUNT);
  const vms = ZONES.map(
    (zone, index) => new Vm({ host: hosts[index], zone, seeds, store: store.address }),
  );
  try {
    vms.forEach((vm) => vm.start());
    const ready = await Promise.all(vms.map((vm) => vm.becomesReady(READY_WITHIN_MS)));
    if (!ready.every(Boolean)) {
      return 2;
    }
    await sleep(BOUNDS.contactMs + 1_000);
    return await play(vms);
  } finally {
    await Promise.all(vms.map((vm) => vm.remove()));
    engines.forEach((engine) => engine.stop());
    store.stop();
  }
}

/** Runs a case, writes its record beside it and exits with its code; 2 if it throws. */
export async function runCase(record, file, deployment) {
  const code = await playInDeployment(deployment).catch((error) => {
    record.add(`could not run: ${error.message}`);
    return 2;
  });
  record.add(`exit ${code}, trouble ${process.env.TROUBLE === '0' ? 'no' : 'yes'}`);
  record.write(file);
  process.exit(code);
}
