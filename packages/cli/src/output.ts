/** Writes the output of the commands. */
import { toJson, type DescMessage, type MessageShape } from '@bufbuild/protobuf';

/** Writes one line to standard output. */
export function printLine(line: string): void {
  process.stdout.write(`${line}\n`);
}

/** Writes a message of limelead.v1 as one line of JSON. */
export function printMessage<Desc extends DescMessage>(
  schema: Desc,
  message: MessageShape<Desc>,
): void {
  printLine(JSON.stringify(toJson(schema, message, { alwaysEmitImplicit: true })));
}

/** Writes a table with aligned columns. */
export function printTable(header: string[], rows: string[][]): void {
  const widths = header.map((title, column) =>
    Math.max(title.length, ...rows.map((row) => row[column]?.length ?? 0)),
  );
  for (const row of [header, ...rows]) {
    const cells = row.map((cell, column) => cell.padEnd(widths[column] ?? 0));
    printLine(cells.join('  ').trimEnd());
  }
}
