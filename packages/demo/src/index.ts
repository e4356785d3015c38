/** Demonstration of VMs and stand-ins in one process that injects faults and checks every token. */
export { default as runDemo, type DemoOptions } from './run-demo.js';
export {
  default as startDemoCluster,
  type DemoCluster,
  type DemoClusterOptions,
} from './demo-cluster.js';
export { FAULT_NAMES, isFaultName, type FaultName } from './fault-injector.js';
export type { DemoReport } from './report.js';
export * from './demo-configuration.js';
export { default as createSeededRandom } from './seeded-random.js';
export { default as createSettings } from './create-settings.js';
export { default as findFreePort } from './find-free-port.js';
export { default as toOperations } from './to-operations.js';
