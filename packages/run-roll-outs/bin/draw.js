/**
 * Draws the design note's table and figure from the output of `prove.js`.
 * Usage: node bin/draw.js LINES.jsonl FIGURE.svg > TABLE.md
 */
import { readFileSync, writeFileSync } from 'node:fs';

const [linesFile, figureFile] = process.argv.slice(2);
const rows = readFileSync(linesFile, 'utf8')
  .split('\n')
  .filter((line) => line !== '')
  .map((line) => JSON.parse(line))
  .filter(({ way }) => way !== 'ignore');
const BAR_HEIGHT = 12;
const LEFT = 260;
const WIDTH = 760;
/** Requests at the right edge of the figure. */
const MAX_REQUESTS = 560;
const COLOURS = { sequential: '#2b6cb0', proportions: '#c05621' };

const columns = [
  ['Way', ({ way }) => way],
  ['VMs', ({ vms }) => vms],
  ['Version', ({ kind }) => kind],
  ['Runs', ({ runs }) => runs],
  ['Rolled back', ({ rolledBack }) => rolledBack],
  ['Requests to it: median', ({ exposed }) => exposed],
  ['most', ({ mostExposed }) => mostExposed],
  ['Left after the first bad answer, median ms', ({ leftAfterFirstMs }) => leftAfterFirstMs],
  ['after the 50th, most ms', (row) => (row.kind === 'good' ? '' : row.mostLeftAfterManyMs)],
  [
    'Rules broken',
    ({ broken }) =>
      Object.entries(broken)
        .map((entry) => entry.join(': '))
        .join(', '),
  ],
];
const toRow = (cells) => `| ${cells.join(' | ')} |\n`;
process.stdout.write(toRow(columns.map(([name]) => name)));
process.stdout.write(toRow(columns.map(() => '---')));
rows.forEach((row) => process.stdout.write(toRow(columns.map(([, read]) => read(row)))));

const scale = (requests) => (requests / MAX_REQUESTS) * (WIDTH - LEFT - 10);
const bad = rows.filter(({ kind }) => kind !== 'good');
const bars = bad.map(({ way, vms, kind, exposed, mostExposed }, index) => {
  const y = 40 + index * (BAR_HEIGHT + 4);
  const middle = y + BAR_HEIGHT / 2;
  return [
    `<text x="${LEFT - 6}" y="${y + 10}" text-anchor="end">${kind}, ${vms} VMs, ${way}</text>`,
    `<rect x="${LEFT}" y="${y}" width="${scale(exposed)}" height="${BAR_HEIGHT}" fill="${COLOURS[way]}"/>`,
    `<line x1="${LEFT}" x2="${LEFT + scale(mostExposed)}" y1="${middle}" y2="${middle}" stroke="black"/>`,
  ].join('\n');
});
const height = 50 + bad.length * (BAR_HEIGHT + 4);
const boundX = LEFT + scale(530);
const figure = `<svg xmlns="http://www.w3.org/2000/svg" viewBox="0 0 ${WIDTH} ${height}" font-family="sans-serif" font-size="11">
<text x="10" y="16">Requests that a bad version got: median (bar) and most (line) of the runs; dashed: the bound of 4,800 requests</text>
<line x1="${boundX}" x2="${boundX}" y1="28" y2="${height - 6}" stroke="grey" stroke-dasharray="4 3"/>
${bars.join('\n')}
</svg>
`;
writeFileSync(figureFile, figure);
