import { test } from 'uvu';
import * as assert from 'uvu/assert';
import createMetrics from './index.js';

test('all series are rendered in the Prometheus text format', () => {
  const metrics = createMetrics();
  metrics.count('limelead_errors_total', 2, { kind: 'not "found"\n' });
  metrics.gauge('limelead_open', () => 3);
  metrics.recordMs('limelead_ms', 10);
  metrics.recordMs('limelead_ms', 30);
  assert.equal(metrics.render().split('\n'), [
    '# TYPE limelead_errors_total counter',
    'limelead_errors_total{kind="not \\"found\\"\\n"} 2',
    '# TYPE limelead_open gauge',
    'limelead_open 3',
    '# TYPE limelead_ms summary',
    'limelead_ms{quantile="0.5"} 10',
    'limelead_ms{quantile="0.95"} 30',
    'limelead_ms{quantile="0.99"} 30',
    'limelead_ms_sum 40',
    'limelead_ms_count 2',
    '',
  ]);
});

test('a gauge may have values whose labels change from one rendering to the next', () => {
  const metrics = createMetrics();
  let targets = ['a', 'b'];
  metrics.gauge('limelead_tokens', () =>
    targets.map((target, index) => ({ labels: { target }, value: index })),
  );
  assert.match(metrics.render(), 'limelead_tokens{target="a"} 0\nlimelead_tokens{target="b"} 1\n');
  targets = [];
  assert.is(metrics.render(), '# TYPE limelead_tokens gauge\n');
});

test('a counter that was never increased is zero', () => {
  assert.is(createMetrics().counterValue('limelead_errors_total'), 0);
});

test.run();
