/** Replays gaps between pieces under the present rule and under the one that it replaced. */
import computeSilenceTimeout, {
  INITIAL_GAP_ESTIMATE,
  updateGapEstimate,
  type GapEstimate,
} from '@limelead/suspect-silence';
import { hashText, type Millis } from '@limelead/types';
import type { MonitoredRun } from './monitored-run.js';
import ReplayEngine, { type Trouble } from './replay-engine.fixture.js';
import RunActivity from './run-activity.js';
import { createMonitoredTargets, createTarget } from './silence.fixture.js';

const RUN_MS = 4_500;
/** The trouble begins between this time and 1 s later, when all runs have learned their gaps. */
const TROUBLE_AT_MS = 2_000;
const RESUME_MS = 120;
const MAX_PAUSE_MS = 700;
const TARGETS = 16;
const RUNS_PER_TARGET = 2;
const CHECK_INTERVAL_MS = 30;
const OLD_POLICY = { suspicionFactor: 6, minSilenceMs: 240, maxSilenceMs: 350 };
const NEW_POLICY = { suspicionFactor: 6, minSilenceMs: 140, maxSilenceMs: 700 / 3 };
const FLAGS = { hedge: false, probeFirst: false };

/** What happens, and to how many targets. */
export interface Scenario extends Trouble {
  /** Number of affected targets, from the first; four in a row are a failure domain. */
  affected: number;
}

/** Figures of one replay. Times are from the last piece to the resumed send. */
export interface ReplayResult {
  runs: number;
  /** Runs that left a target which was up. */
  falseAbandonments: number;
  /** Runs at dark targets that were not abandoned within the allowed pause. */
  missed: number;
  resumedAfterMs: Millis[];
  /** Pauses over the allowed one, with 120 ms for each resumption. */
  latePauses: number;
  probes: number;
}

/** Replays a scenario with a seed under one rule. */
export default async function replaySilence(
  scenario: Scenario,
  seed: number,
  rule: 'old' | 'new',
): Promise<ReplayResult> {
  const draw = (name: string): number => (hashText(`${seed} ${name}`) % 1_000) / 1_000;
  const targets = Array.from({ length: TARGETS }, (_, index) =>
    createTarget(`t${index}`, `d${Math.floor(index / 4)}`),
  );
  const bed = createMonitoredTargets(targets, () => 0.5);
  const { clock, timers, directory, monitor, state } = bed;
  const result: ReplayResult = {
    ...{
      runs: 0,
      falseAbandonments: 0,
      missed: 0,
      resumedAfterMs: [],
      latePauses: 0,
      probes: 0,
    },
  };
  const startMs = clock.now();
  const elapsed = (): Millis => clock.now() - startMs;
  const open = new Set<{ run: MonitoredRun; check: () => void }>();

  targets.forEach((target, index) => {
    const isAffected = index < scenario.affected;
    const troubleAtMs = TROUBLE_AT_MS + 1_000 * draw(scenario.isDark ? 'domain' : target.id);
    const engine = new ReplayEngine({
      ...{ timers, elapsed, troubleAtMs, trouble: isAffected ? scenario : {}, untilMs: RUN_MS },
      reportPrefill: (reading) => {
        const load = { requests: 3, reading, copies: 0, slowness: 1 };
        directory.onPeerLoad(`p${index}`, { targets: new Map([[target.id, load]]), advice: 0 });
      },
    });
    // Every target prefills a prompt early, so that the service's gaps beside prefills are known.
    timers.after(300 + 100 * draw(`${target.id} early`), () => engine.startPrefill(1));
    if (isAffected && scenario.prompts !== undefined) {
      const { prompts } = scenario;
      const prefillAtMs = troubleAtMs - 1_000 * draw(`${target.id} prefill`);
      timers.after(prefillAtMs, () => engine.startPrefill(prompts));
    }
    if (isAffected && scenario.isDark) {
      timers.after(troubleAtMs, () => state.behaviours.set(target.id, 'dark'));
    }
    for (let number = 0; number < RUNS_PER_TARGET; number += 1) {
      result.runs += 1;
      engine.onPieces.push(startRun(index, () => engine.isDark));
    }
    engine.start();
  });

  /** Starts a run and returns the handler of its pieces. */
  function startRun(index: number, isDark: () => boolean): () => void {
    const target = targets[index] ?? createTarget('t0');
    let gaps = INITIAL_GAP_ESTIMATE;
    let isOver = false;
    const onSilent = (): void => {
      isOver = true;
      open.delete(entry);
      stop();
      const afterMs = clock.now() - run.lastActivityAtMs;
      if (isDark()) {
        result.resumedAfterMs.push(afterMs);
        result.missed += afterMs > MAX_PAUSE_MS ? 1 : 0;
      } else {
        result.falseAbandonments += 1;
      }
      result.latePauses += afterMs + RESUME_MS > MAX_PAUSE_MS ? 1 : 0;
    };
    const run = new RunActivity({
      ...{ requestId: `r${result.runs}`, target, resumesFromReplica: false, clock, directory },
      policy: { ...(rule === 'new' ? NEW_POLICY : OLD_POLICY), ...FLAGS },
      ...{ maxPrefillMs: 5_000, maxPauseMs: MAX_PAUSE_MS, onSilent },
    });
    state.listed.add(run.requestId);
    const stop = rule === 'new' ? monitor.monitor(run) : (): void => undefined;
    const meter = directory.pace.createMeter(target);
    const entry = {
      run,
      check: (): void => applyReplacedRule(bed, open, run, gaps),
    };
    open.add(entry);
    return () => {
      if (isOver) {
        return;
      }
      const gapMs = clock.now() - run.lastActivityAtMs;
      if (run.isWriting) {
        gaps = updateGapEstimate(gaps, gapMs);
        result.latePauses += gapMs > MAX_PAUSE_MS ? 1 : 0;
      }
      directory.recordActivity(target.id);
      run.recordActivity();
      meter.recordPieces(1, clock.now());
    };
  }

  for (let atMs = 0; atMs < RUN_MS; atMs += CHECK_INTERVAL_MS) {
    await bed.advance(CHECK_INTERVAL_MS);
    if (rule === 'old') {
      [...open].filter((entry) => open.has(entry)).forEach(({ check }) => check());
    }
  }
  result.probes = state.probed.length;
  return result;
}

/** Abandons the runs of a target as the replaced rule did, without a probe. */
function applyReplacedRule(
  { clock, directory }: ReturnType<typeof createMonitoredTargets>,
  open: ReadonlySet<{ run: MonitoredRun }>,
  { target, lastActivityAtMs, isWriting }: MonitoredRun,
  gaps: GapEstimate,
): void {
  const now = clock.now();
  const seenAtMs = directory.get(target.id)?.health.lastResponseAtMs ?? 0;
  const targetSilentMs = now - Math.max(lastActivityAtMs, seenAtMs);
  const isSuspected = directory.isDomainSuspected(target.service, target.failureDomain);
  const timeoutMs = computeSilenceTimeout(gaps, { ...OLD_POLICY, ...FLAGS });
  const limitMs = timeoutMs * (isSuspected ? 0.6 : 1);
  const silentMs = now - lastActivityAtMs;
  const isTargetSilent = targetSilentMs >= limitMs * 0.7;
  if (isWriting && silentMs >= limitMs && (isTargetSilent || silentMs >= limitMs * 4)) {
    directory.observe(target.id, { kind: 'lost' });
    [...open]
      .filter(({ run }) => run.target.id === target.id && now - run.lastActivityAtMs > 100)
      .forEach(({ run }) => run.onSilent('target-lost'));
  }
}
