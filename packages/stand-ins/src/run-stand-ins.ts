/** Runs the platform, engines and plain services in one process, to try the system manually. */
import type { ListedVm, ModelVersion } from '@limelead/types';
import startEngine, { type EngineOptions } from './engine/start-engine.js';
import startPlainService from './plain-service.js';
import startPlatform from './platform.js';

const HOST = '127.0.0.1';

/** Stand-ins to start, given as JSON in the first argument. */
export interface StandInsPlan {
  engines: number;
  plainServices: { service: string; count: number }[];
  loaded: ModelVersion[];
  /** Overrides of the default engine behaviour. */
  engine?: Partial<EngineOptions>;
}

/** Starts all stand-ins and prints the platform's port as one line of JSON. */
export default async function runStandIns(argv: string[]): Promise<void> {
  const plan = JSON.parse(argv[2] ?? '{}') as StandInsPlan;
  const platform = await startPlatform();
  for (let index = 0; index < plan.engines; index += 1) {
    const id = `engine-${index + 1}`;
    const engine = await startEngine({ id, loaded: plan.loaded, ...plan.engine });
    platform.vms.add(createListedVm(id, 'engine', engine.port, []));
  }
  for (const { service, count } of plan.plainServices) {
    for (let index = 0; index < count; index += 1) {
      const { port } = await startPlainService();
      platform.vms.add(createListedVm(`${service}-${index + 1}`, 'plain', port, [service]));
    }
  }
  process.stdout.write(`${JSON.stringify({ platformPort: platform.port })}\n`);
}

function createListedVm(
  id: string,
  role: ListedVm['role'],
  port: number,
  services: string[],
): ListedVm {
  return { id, role, host: HOST, port, failureDomain: 'suwon', leaving: false, services };
}
