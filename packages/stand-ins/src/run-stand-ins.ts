/** Runs platform, engines and plain services in one process of their own, to try the system by hand. */
import type { ListedVm, ModelVersion } from '@limelead/types';
import startEngine, { type EngineOptions } from './engine/start-engine.js';
import startPlainService from './plain-service.js';
import startPlatform from './platform.js';

const HOST = '127.0.0.1';

/** What is started, as JSON in the first argument. */
export interface StandInsPlan {
  engines: number;
  plainServices: { service: string; count: number }[];
  loaded: ModelVersion[];
  /** Behaviour of the engines that differs from the default. */
  engine?: Partial<EngineOptions>;
}

/** Starts everything and writes one line of JSON with the platform's port. */
export default async function runStandIns(argv: string[]): Promise<void> {
  const plan = JSON.parse(argv[2] ?? '{}') as StandInsPlan;
  const platform = await startPlatform();
  for (let index = 0; index < plan.engines; index += 1) {
    const id = `engine-${index + 1}`;
    const engine = await startEngine({ id, loaded: plan.loaded, ...plan.engine });
    platform.vms.add(listed(id, 'engine', engine.port, []));
  }
  for (const { service, count } of plan.plainServices) {
    for (let index = 0; index < count; index += 1) {
      const { port } = await startPlainService();
      platform.vms.add(listed(`${service}-${index + 1}`, 'plain', port, [service]));
    }
  }
  process.stdout.write(`${JSON.stringify({ platformPort: platform.port })}\n`);
}

function listed(id: string, role: ListedVm['role'], port: number, services: string[]): ListedVm {
  return { id, role, host: HOST, port, failureDomain: 'suwon', leaving: false, services };
}
