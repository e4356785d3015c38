/** Types of experiments and their results. */

/** Seeds for which an experiment runs. */
export interface ExperimentOptions {
  seeds: number[];
}

/** A candidate or baseline with its values. */
export interface ResultRow {
  name: string;
  /** Values by column, one for each seed. */
  values: Record<string, number[]>;
}

/** Result of an experiment, written as JSON. */
export interface ExperimentResult {
  name: string;
  question: string;
  /** Fleet and load of the experiment. */
  setting: string;
  /** Column names in order, with their units. */
  columns: string[];
  /** Name of the row that the other rows are compared with. */
  baseline: string;
  rows: ResultRow[];
}

/** A named experiment that can be run. */
export interface Experiment {
  name: string;
  run(options: ExperimentOptions): Promise<ExperimentResult>;
}

/** Collects values by row and column while an experiment runs. */
export default class ResultTable {
  private readonly rows = new Map<string, ResultRow>();

  /** Appends the values of one run to a row. */
  add(name: string, figures: Record<string, number>): void {
    const row = this.rows.get(name) ?? { name, values: {} };
    for (const [column, value] of Object.entries(figures)) {
      row.values[column] = [...(row.values[column] ?? []), roundToThousandths(value)];
    }
    this.rows.set(name, row);
    process.stderr.write(`${name}: ${JSON.stringify(figures)}\n`);
  }

  /** Returns all rows in insertion order. */
  list(): ResultRow[] {
    return [...this.rows.values()];
  }
}

function roundToThousandths(value: number): number {
  return Math.round(value * 1_000) / 1_000;
}
