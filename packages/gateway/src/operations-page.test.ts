/** The operations page lists exactly the log events and metrics of the gateway. */
import { readdirSync, readFileSync } from 'node:fs';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { test } from 'uvu';
import * as assert from 'uvu/assert';

const ROOT = fileURLToPath(new URL('../../../', import.meta.url));
const PACKAGES = [
  'admit-request',
  'decision-log',
  'estimate-time',
  'forward-request',
  'gateway',
  'hold-duty',
  'http-front-door',
  'meter-usage',
  'order-capacity',
  'judge-version',
  'permit-sends',
  'quarantine-requests',
  'queue-calls',
  'record-versions',
  'relay-requests',
  'run-roll-outs',
  'share-evidence',
  'store-origins',
  'track-backpressure',
  'track-origins',
  'track-reach',
];
/** Written as `target-${kind}`, with the kinds of a `TargetNotice`. */
const TARGET_EVENTS = ['target-joined', 'target-leaving', 'target-gone'];

function readSources(): string {
  const folders = PACKAGES.map((name) => join(ROOT, 'packages', name, 'src'));
  const files = folders.flatMap((folder) => readdirSync(folder).map((file) => join(folder, file)));
  return files
    .filter((file) => file.endsWith('.ts') && !/\.(test|fixture)\.ts$/.test(file))
    .map((file) => readFileSync(file, 'utf8'))
    .join('\n');
}

function findAll(text: string, pattern: RegExp): string[] {
  return [...new Set([...text.matchAll(pattern)].map(([, name = '']) => name))].sort();
}

const page = readFileSync(join(ROOT, 'docs', 'OPERATIONS.md'), 'utf8');
const sources = readSources();

test('the page names every log event that the gateway writes', () => {
  const written = findAll(
    sources,
    /(?:\bwrite|toLine)\((?:vm, clock, )?\s*'([a-z]+(?:-[a-z]+)*)'/g,
  );
  const missing = [...written, ...TARGET_EVENTS].filter((event) => !page.includes(`\`${event}\``));
  assert.ok(written.length > 20, `${written.length} events were found`);
  assert.equal(missing, []);
});

test('the sources write every log event in the table', () => {
  const table = page.slice(page.indexOf('| Event'), page.indexOf('## From an id'));
  const named = findAll(table, /`([a-z]+-[a-z-]+)`/g);
  const unknown = named.filter(
    (event) => !TARGET_EVENTS.includes(event) && !sources.includes(`'${event}'`),
  );
  assert.equal(unknown, []);
});

test('the page lists exactly the metrics of the gateway', () => {
  const pattern = /(limelead_[a-z_]+)/g;
  assert.equal(findAll(page.slice(page.indexOf('## Figures')), pattern), findAll(sources, pattern));
});

test.run();
