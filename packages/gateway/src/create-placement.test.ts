import createMetrics from '@limelead/metrics';
import { TargetDirectory } from '@limelead/track-service-targets';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import createPlacement from './create-placement.js';
import type { FleetComponentContext } from './fleet-component.js';

const clock = { now: () => 0 };

function create(maxTargetBodyBytes?: number) {
  const directory = new TargetDirectory(clock);
  directory.replaceAll(
    Array.from({ length: 30 }, (_, index) => ({
      ...{ id: `t${index}`, service: 's', host: 'h', port: index, failureDomain: 'd', slots: 4 },
      leaving: false,
    })),
  );
  const metrics = createMetrics();
  const lines: string[] = [];
  const log = { write: (event: string) => void lines.push(event) };
  const context = { clock, log, metrics, directory } as Partial<FleetComponentContext>;
  const placement = createPlacement(context as FleetComponentContext, {
    countVms: () => 32,
    readMaxTargetBodyBytes: () => maxTargetBodyBytes,
  });
  return { directory, metrics, lines, placement };
}

// Guards against targets that all VMs together fill with bodies, each within the whole bound.
test('each VM uses its part of the bound on bodies', () => {
  assert.is(create().placement.maxBodyBytes?.(), 1_000_000);
  assert.is(create(64_000_000).placement.maxBodyBytes?.(), 2_000_000);
});

// Guards against a page of metrics that grows with the fleet.
test('the metric of tokens has the 20 fullest targets', () => {
  const { directory, metrics } = create();
  const run = { service: 's', promptTokens: 1, isWhole: true };
  for (let index = 0; index < 30; index += 1) {
    directory.startRequest(`t${index}`, { ...run, requestId: `r${index}`, tokens: 100 + index });
  }
  const shown = metrics.render().match(/limelead_target_tokens\{target="t\d+"\} \d+/g) ?? [];
  assert.is(shown.length, 20);
  assert.is(shown[0], 'limelead_target_tokens{target="t29"} 129');
  assert.is(shown[19], 'limelead_target_tokens{target="t10"} 110');
});

test('limited placements are counted, and logged within a limit', () => {
  const { metrics, lines, placement } = create();
  for (let index = 0; index < 50; index += 1) {
    const limit = { reason: 'memory', outcome: 'waits', candidates: 3 } as const;
    placement.onPlacementLimited?.({ requestId: `r${index}`, ...limit });
  }
  const labels = { reason: 'memory', outcome: 'waits' };
  assert.is(metrics.counterValue('limelead_placements_limited_total', labels), 50);
  assert.is(lines.filter((event) => event === 'placement-limited').length, 20);
});

test.run();
