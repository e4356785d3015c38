/** Renders a result as a Markdown table: the median over the seeds, and the spread where there is one. */
import { median } from './statistics.js';
import type { ExperimentResult, ResultRow } from './experiment.js';

/** Gives the page of one experiment. */
export default function renderMarkdown(result: ExperimentResult): string {
  const { name, question, setting, columns, rows, baseline } = result;
  const base = rows.find((row) => row.name === baseline);
  const lines = [
    `# ${name}`,
    '',
    question,
    '',
    `Setting: ${setting}`,
    '',
    `Each cell: the median over the seeds (least to greatest), and behind × the ratio to “${baseline}”.`,
    '',
    `| | ${columns.join(' | ')} |`,
    `| --- | ${columns.map(() => '---:').join(' | ')} |`,
    ...rows.map((row) => renderRow(row, columns, base)),
    '',
  ];
  return lines.join('\n');
}

function renderRow(row: ResultRow, columns: string[], base: ResultRow | undefined): string {
  const cells = columns.map((column) => renderCell(row, column, base));
  return `| ${row.name} | ${cells.join(' | ')} |`;
}

function renderCell(row: ResultRow, column: string, base: ResultRow | undefined): string {
  const values = row.values[column] ?? [];
  if (values.length === 0) {
    return '';
  }
  const middle = median(values);
  const [least, greatest] = [Math.min(...values), Math.max(...values)];
  const spread = least === greatest ? '' : ` (${show(least)}–${show(greatest)})`;
  const reference = base === undefined || base === row ? 0 : median(base.values[column] ?? []);
  const ratio = reference > 0 ? ` ×${(middle / reference).toFixed(2)}` : '';
  return `${show(middle)}${spread}${ratio}`;
}

function show(value: number): string {
  return Math.abs(value) >= 100 ? value.toFixed(0) : String(Math.round(value * 100) / 100);
}
