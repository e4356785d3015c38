import type { ServingConfiguration, ServingRoute } from '@limelead/types';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import compileRoutes, { chooseService } from './index.js';

function createRoute(overrides: Partial<ServingRoute>): ServingRoute {
  return {
    name: 'route',
    host: 'vans.example',
    pathPrefix: '/a/',
    shares: [{ service: 'briefs', weight: 1 }],
    streaming: false,
    repeatable: true,
    timeoutMs: 1_000,
    objectiveMs: 100,
    maxTargets: 2,
    rank: 1,
    open: false,
    ...overrides,
  };
}

const configuration: ServingConfiguration = {
  version: 3,
  routes: [
    createRoute({ name: 'short', pathPrefix: '/a/' }),
    createRoute({ name: 'long', pathPrefix: '/a/b/' }),
    createRoute({ name: 'open', pathPrefix: '/open/', open: true }),
  ],
  services: [{ name: 'briefs', maxConnections: 10 }],
  organisations: [{ name: 'north', keys: ['k1', 'k2'], rank: 0 }],
  limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
};

test('the route with the longest path prefix is found; query and port are ignored', () => {
  const table = compileRoutes(configuration);
  assert.is(table.findRoute('VANS.example:80', '/a/b/c')?.name, 'long');
  assert.is(table.findRoute('vans.example', '/a/x?y=/a/b/')?.name, 'short');
  assert.is(table.findRoute('vans.example', '/a'), undefined);
  assert.is(table.findRoute('other.example', '/a/x'), undefined);
});

test('a key identifies its organisation; without a known key only open routes can be used', () => {
  const table = compileRoutes(configuration);
  const [short, open] = [table.findRoute('vans.example', '/a/')!, configuration.routes[2]!];
  assert.equal(table.authenticate(short, 'k2'), {
    kind: 'known',
    caller: { organisation: 'north', rank: 0 },
  });
  assert.is(table.authenticate(short, 'k3').kind, 'unknown-key');
  assert.is(table.authenticate(short, undefined).kind, 'unknown-key');
  assert.is(table.authenticate(open, undefined).kind, 'open');
});

test('a configuration without organisations requires no key', () => {
  const table = compileRoutes({ ...configuration, organisations: undefined });
  assert.is(table.authenticate(configuration.routes[0]!, undefined).kind, 'open');
});

test('requests are split by weight, and a request always gets the same service', () => {
  const route = createRoute({
    shares: [
      { service: 'old', weight: 90 },
      { service: 'new', weight: 10 },
    ],
  });
  const chosen = Array.from({ length: 2_000 }, (_, index) => chooseService(route, `r${index}`));
  const newCount = chosen.filter((service) => service === 'new').length;
  assert.ok(newCount > 130 && newCount < 270, `${newCount} of 2000`);
  assert.is(chooseService(route, 'r1'), chooseService(route, 'r1'));
});

test.run();
