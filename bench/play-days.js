/**
 * Plays every day of `bench/days` on one site and prints a table.
 *
 *   node bench/play-days.js PROGRAM SITE [NAME ...]
 *
 * PROGRAM is the users' bench, which is not part of this repository; CI does
 * without it.
 */
import { spawnSync } from 'node:child_process';
import { readdirSync } from 'node:fs';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';

const folder = join(dirname(fileURLToPath(import.meta.url)), 'days');
const [program, site, ...names] = process.argv.slice(2);
if (program === undefined || site === undefined) {
  console.error('usage: node bench/play-days.js PROGRAM SITE [NAME ...]');
  process.exit(2);
}

/** Columns of the row that the bench prints for a day, behind its name and machines. */
const COLUMNS = ['score', 'worth', 'served', 'refused', 'failed'];

function listDays() {
  const all = readdirSync(folder)
    .filter((file) => file.endsWith('.toml'))
    .map((file) => file.slice(0, -'.toml'.length));
  return names.length === 0 ? all : all.filter((name) => names.includes(name));
}

function play(name) {
  const file = join(folder, `${name}.toml`);
  const reason = `own day: ${name}`;
  const { stdout } = spawnSync(program, ['run', site, file, '--jobs', '1', '--why', reason], {
    encoding: 'utf8',
    maxBuffer: 256 * 1024 * 1024,
  });
  const row = stdout.split('\n').find((line) => line.startsWith(`${name} `));
  const broken = /BROKEN: (.*)$/.exec(row ?? '')?.[1] ?? (row === undefined ? 'not played' : '');
  return {
    figures:
      row
        ?.trim()
        .split(/\s+/)
        .slice(2, 2 + COLUMNS.length) ?? [],
    broken,
  };
}

console.log(`| day | ${COLUMNS.join(' | ')} | rules broken |`);
console.log(`| --- |${' ---: |'.repeat(COLUMNS.length)} --- |`);
let failures = 0;
for (const name of listDays()) {
  const { figures, broken } = play(name);
  failures += broken === '' ? 0 : 1;
  console.log(`| ${name} | ${figures.join(' | ')} | ${broken || 'none'} |`);
}
process.exit(failures === 0 ? 0 : 1);
