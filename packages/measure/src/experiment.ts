/** Shapes of experiments and their results. */

/** How long and how often an experiment runs. */
export interface ExperimentOptions {
  seeds: number[];
}

/** One row: a candidate or baseline, with the value of each column at each seed. */
export interface ResultRow {
  name: string;
  /** The values of each column, one for each seed. */
  values: Record<string, number[]>;
}

/** What an experiment found. */
export interface ExperimentResult {
  name: string;
  question: string;
  /** How it was measured. */
  setting: string;
  /** Columns in their order, with unit. */
  columns: string[];
  /** Name of the row that the others are compared with. */
  baseline: string;
  rows: ResultRow[];
}

/** An experiment. */
export interface Experiment {
  name: string;
  run(options: ExperimentOptions): Promise<ExperimentResult>;
}

/** Collects the cells of a table as they are measured. */
export default class ResultTable {
  private readonly rows = new Map<string, ResultRow>();

  /** Adds one run's figures to a row. */
  add(name: string, figures: Record<string, number>): void {
    const row = this.rows.get(name) ?? { name, values: {} };
    for (const [column, value] of Object.entries(figures)) {
      row.values[column] = [...(row.values[column] ?? []), round(value)];
    }
    this.rows.set(name, row);
    process.stderr.write(`${name}: ${JSON.stringify(figures)}\n`);
  }

  /** All rows in the order in which they were first added. */
  list(): ResultRow[] {
    return [...this.rows.values()];
  }
}

function round(value: number): number {
  return Math.round(value * 1_000) / 1_000;
}
