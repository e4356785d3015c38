/** Polls the list of VMs, and the load reports and cache events of the engines. */
import * as E from 'fp-ts/lib/Either.js';
import type { TrackedTarget } from '@limelead/track-targets';
import startLoop, { type Loop } from './loop.js';
import type { VmContext } from './vm-context.js';

/** Starts the polling loops of one VM. */
export default function pollTargets(context: VmContext): Loop[] {
  const { listPollMs, loadPollMs } = context.settings.timing;
  return [
    startLoop(context, listPollMs, () => readList(context)),
    startLoop(context, loadPollMs, createLoadReportPoll(context)),
  ];
}

async function readList(context: VmContext): Promise<void> {
  const { externalSystems, targets, members, clock, metrics, bus, gaps } = context;
  const readAtMs = clock.now();
  const list = await externalSystems.vmList.read()();
  if (E.isLeft(list)) {
    metrics.count('limelead_list_reads_failed_total');
    return;
  }
  const changed = targets.applyList(list.right, readAtMs);
  members.applyVmList(list.right, clock.now());
  gaps.keepOnly(new Set(targets.all().map(({ id }) => id)));
  for (const id of changed) {
    const target = targets.find(id);
    const state = target === undefined ? 'gone' : targets.getState(target, clock.now());
    bus.publish('', () => ({ kind: 'targetChanged', target: id, state }));
  }
}

/** Polls each engine independently, so that a target that does not answer delays no other. */
function createLoadReportPoll(context: VmContext): () => Promise<void> {
  const pending = new Set<string>();
  return async () => {
    const engines = context.targets.all().filter(({ role }) => role === 'engine');
    for (const target of engines.filter(({ id }) => !pending.has(id))) {
      pending.add(target.id);
      void readReport(context, target).finally(() => pending.delete(target.id));
    }
  };
}

async function readReport(context: VmContext, target: TrackedTarget): Promise<void> {
  const { externalSystems, targets, clock, metrics } = context;
  const engine = externalSystems.connector.engine(target.host, target.port);
  const [report, events] = await Promise.all([
    engine.reportLoad()(),
    engine.readCacheEvents(target.cacheSequence)(),
  ]);
  if (E.isRight(report)) {
    targets.applyReport(target.id, report.right, clock.now());
  } else {
    metrics.count('limelead_load_reports_failed_total');
  }
  if (E.isRight(events)) {
    targets.applyCacheEvents(target.id, events.right);
  }
}
