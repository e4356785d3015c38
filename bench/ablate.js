/**
 * Takes one mechanism out of a scratch copy of the sources and builds the copy.
 * The program itself has no switches for this.
 *
 *   node bench/ablate.js NAME FOLDER
 *
 * FOLDER is a copy of this repository with its packages installed; NAME stands
 * in `bench/ablations/ablations.jsonc`.
 */
import { spawnSync } from 'node:child_process';
import { readFileSync, writeFileSync } from 'node:fs';
import { dirname, join, resolve } from 'node:path';
import { fileURLToPath } from 'node:url';
import ts from 'typescript';

const here = dirname(fileURLToPath(import.meta.url));
const listFile = join(here, 'ablations', 'ablations.jsonc');
const { config: ablations } = ts.readConfigFile(listFile, (file) => readFileSync(file, 'utf8'));
const [name, folder] = process.argv.slice(2);
const ablation = ablations[name];
if (ablation === undefined || folder === undefined) {
  console.error(`usage: node bench/ablate.js NAME FOLDER\nnames: ${Object.keys(ablations)}`);
  process.exit(2);
}
if (resolve(folder) === resolve(here, '..')) {
  console.error('FOLDER has to be a copy: its sources are changed');
  process.exit(2);
}

const file = join(folder, ablation.file);
const source = readFileSync(file, 'utf8');
if (source.split(ablation.find).length !== 2) {
  console.error(`${ablation.file}: the text of ${name} does not stand there exactly once`);
  process.exit(1);
}
writeFileSync(file, source.replace(ablation.find, ablation.replace));
const { status } = spawnSync('npm', ['run', '--silent', 'build'], {
  cwd: folder,
  stdio: 'inherit',
});
process.exit(status ?? 1);
