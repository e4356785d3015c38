/** Renders a result as a Markdown table with medians, ranges and ratios to the baseline. */
import { median } from './statistics.js';
import type { ExperimentResult, ResultRow } from './experiment.js';

/** Returns the Markdown page of one experiment. */
export default function renderMarkdown(result: ExperimentResult): string {
  const { name, question, setting, columns, rows, baseline } = result;
  const baselineRow = rows.find((row) => row.name === baseline);
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
    ...rows.map((row) => renderRow(row, columns, baselineRow)),
    '',
  ];
  return lines.join('\n');
}

function renderRow(row: ResultRow, columns: string[], baselineRow: ResultRow | undefined): string {
  const cells = columns.map((column) => renderCell(row, column, baselineRow));
  return `| ${row.name} | ${cells.join(' | ')} |`;
}

function renderCell(row: ResultRow, column: string, baselineRow: ResultRow | undefined): string {
  const values = row.values[column] ?? [];
  if (values.length === 0) {
    return '';
  }
  const medianValue = median(values);
  const [min, max] = [Math.min(...values), Math.max(...values)];
  const spread = min === max ? '' : ` (${format(min)}–${format(max)})`;
  const reference =
    baselineRow === undefined || baselineRow === row ? 0 : median(baselineRow.values[column] ?? []);
  const ratio = reference > 0 ? ` ×${(medianValue / reference).toFixed(2)}` : '';
  return `${format(medianValue)}${spread}${ratio}`;
}

function format(value: number): string {
  return Math.abs(value) >= 100 ? value.toFixed(0) : String(Math.round(value * 100) / 100);
}
