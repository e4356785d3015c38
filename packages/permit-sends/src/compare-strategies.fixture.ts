/**
 * Compares three strategies that keep a fleet within one rate. Prints a line of JSON for each case:
 * node packages/permit-sends/dist/compare-ways.fixture.js
 */
import Fleet, { type PermitDependencies, type Limiter } from './fleet.fixture.js';
import { divideEvenly, broadcastSends } from './other-strategies.fixture.js';

const END_MS = 30_000;
const STEADY_FROM_MS = 10_000;
const TARGETS = 2;
const SEED = 5;
const STRATEGIES: Readonly<
  Record<string, ((dependencies: PermitDependencies) => Limiter) | undefined>
> = {
  'even share for each VM': divideEvenly,
  'broadcast of sends': broadcastSends,
  'one grantor': undefined,
};

function quantile(sorted: number[], share: number): number {
  return sorted[Math.floor(sorted.length * share)] ?? 0;
}

for (const size of [6, 88, 195]) {
  for (const perSecond of [0.3, 1.7, 12]) {
    for (const where of ['one', 'any']) {
      for (const [way, createLimiter] of Object.entries(STRATEGIES)) {
        const fleet = new Fleet({
          size,
          targets: TARGETS,
          seed: SEED,
          createLimiter,
        });
        fleet.perSecond = perSecond;
        const load = perSecond * TARGETS * 4 + 5;
        fleet.startLoad(load, END_MS, where === 'one' ? () => 1 : fleet.pickAnyVm);
        fleet.runUntil(END_MS);
        const waits = fleet.sends.map(({ waitedMs }) => waitedMs).sort((a, b) => a - b);
        const held = fleet.refusals.map(({ heldMs }) => heldMs).sort((a, b) => a - b);
        const row = {
          ...{ size, perSecond, where, way },
          mostIn4s: fleet.maxSendsInWindow(),
          allowed: Number((1.1 * perSecond * 4 + 2).toFixed(1)),
          used: Number(fleet.shareOfRateUsed(STEADY_FROM_MS, END_MS, perSecond).toFixed(2)),
          waitP50Ms: Math.round(quantile(waits, 0.5)),
          waitP99Ms: Math.round(quantile(waits, 0.99)),
          refused: fleet.refusals.length,
          heldP50Ms: Math.round(quantile(held, 0.5)),
          overdue: fleet.expiredCount,
          messagesPerSend: Number(
            (fleet.messageCount / Math.max(1, fleet.sends.length)).toFixed(1),
          ),
          messagesPerSecond: Math.round(fleet.messageCount / (END_MS / 1_000)),
        };
        console.log(JSON.stringify(row));
      }
    }
  }
}
