/** Targets that answer probes, stay dark or refuse connections, on a manual clock. */
import type { DecisionLog } from '@limelead/decision-log';
import { PortFault } from '@limelead/errors';
import createMetrics from '@limelead/metrics';
import { createManualTime } from '@limelead/stand-ins';
import type { OpenCall, TargetConnections } from '@limelead/target-connections';
import { TargetDirectory } from '@limelead/track-service-targets';
import type { ServiceTarget } from '@limelead/types';
import type { TargetDialect } from './dialect.js';
import SilenceMonitor from './silence-monitor.js';

export type ProbeBehaviour = 'answers' | 'dark' | 'refuses';

/** Creates a target of the service "briefs". */
export function createTarget(id: string, failureDomain = 'north'): ServiceTarget {
  const port = Number(id.replace(/\D/g, '')) + 1;
  const address = { host: '10.0.0.1', port };
  return { id, service: 'briefs', ...address, failureDomain, slots: 4, leaving: false };
}

/** A monitor and the targets that it probes. */
export function createMonitoredTargets(targets: ServiceTarget[], random = (): number => 0) {
  const time = createManualTime();
  const { clock, timers } = time;
  const lost: string[] = [];
  const lines: { event: string; [field: string]: unknown }[] = [];
  const directory = new TargetDirectory(clock, { onLost: ({ id }) => lost.push(id) });
  directory.replaceAll(targets);
  const state = {
    behaviours: new Map<string, ProbeBehaviour>(),
    /** Runs that the targets list. */
    listed: new Set<string>(),
    waiting: 0,
    /** Time to the answer of a probe. */
    answerMs: 3,
    /** Targets in the order of the probes that reached them. */
    probed: [] as string[],
    /** Targets whose answers were published. */
    published: [] as string[],
  };
  const connections: Pick<TargetConnections, 'send'> = {
    send: ({ id }, _call, _options, events) => {
      const createCall = (cancel: () => void): OpenCall => ({
        cancel,
        pause: () => false,
        resume: () => undefined,
      });
      state.probed.push(id);
      const behaviour = state.behaviours.get(id) ?? 'answers';
      if (behaviour === 'refuses') {
        const fault = new PortFault('unreachable', 'no', 'refused');
        return createCall(timers.after(1, () => events.onFault(fault)));
      }
      return behaviour === 'dark'
        ? createCall(() => undefined)
        : createCall(timers.after(state.answerMs, () => events.onEnd()));
    },
  };
  const dialect: Pick<TargetDialect, 'composeProbe' | 'readProbe'> = {
    composeProbe: () => ({ method: 'GET', path: '/report', headers: [], body: Buffer.alloc(0) }),
    readProbe: () => ({ runs: new Set(state.listed), waiting: state.waiting }),
  };
  const metrics = createMetrics();
  const log: DecisionLog = {
    write: (event, fields) => void lines.push({ event, ...fields }),
    flush: () => Promise.resolve(),
    dropped: 0,
  };
  const monitor = new SilenceMonitor({
    ...{ clock, timers, random: { next: random }, directory, metrics },
    connections: connections as TargetConnections,
    dialect: dialect as TargetDialect,
    log,
    onProbeAnswered: (id) => state.published.push(id),
  });
  return { ...time, directory, state, monitor, metrics, lost, lines };
}
