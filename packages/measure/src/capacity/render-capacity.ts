/** Renders docs/CAPACITY.md from the measured slopes. */
import {
  assembleControlRows,
  assembleRoleRows,
  assembleServiceRows,
  type CapacityRow,
} from './rows.js';
import assembleFrontDoorRows from './front-door-rows.js';
import { assembleFailureRows, type FailureRow } from './failures.js';
import { CONTROL_BUDGET, SERVICE_BUDGET } from './sizes.js';
import type { Slope } from './slope.js';

/** Returns the Markdown page. */
export default function renderCapacity(slopes: readonly Slope[]): string {
  const roles = assembleRoleRows(slopes);
  const control = assembleControlRows(slopes);
  const service = assembleServiceRows();
  const frontDoor = assembleFrontDoorRows();
  const rowsOverBudget = [...roles, ...control, ...service, ...frontDoor].filter(
    ({ isWithinBudget }) => isWithinBudget === false,
  );
  return [
    '# Capacity',
    '',
    'This page is made by `npm run measure -- capacity` from measured slopes; a test holds it',
    'against `docs/measurements/capacity.json`. "Today" is one user: 7 VMs, 21 targets; its rates',
    'are assumed. "Target" is the size of the first letter: 410 nodes, 3,500 workers, 4,700',
    'requests and 2.1 M tokens a second, 40,000 organisations, 2,000 changes a day.',
    '',
    `Budgets for control, a node: ${CONTROL_BUDGET.cpuMsPerSecond} ms of processor time a second`,
    `(2.9% of a core), ${CONTROL_BUDGET.memoryMb} MB, ${CONTROL_BUDGET.kbPerSecond} KB a second. The platform's service: about`,
    `${SERVICE_BUDGET.writesPerSecond} writes and ${SERVICE_BUDGET.readsPerSecond} reads a second for everybody,`,
    'as the sheets of today tell it.',
    '',
    '## Rows that do not fit, worst first',
    '',
    ...renderRowsOverBudget(rowsOverBudget),
    '',
    '## What each role holds and spends',
    '',
    ...renderRows(roles),
    '',
    '## Control traffic with no request in flight',
    '',
    ...renderRows(control),
    '',
    "## The platform's service, from the whole fleet",
    '',
    ...renderRows(service),
    '',
    '## The HTTP front door, from a sweep to 300 VMs',
    '',
    ...renderRows(frontDoor),
    '',
    '## Failures at size',
    '',
    ...renderFailures(assembleFailureRows(slopes)),
    '',
    '## Measured slopes',
    '',
    'Each was measured at four or five sizes on one machine; "fit" is the share of the',
    'variation that the line explains.',
    '',
    '| What | Per | Slope | At zero | Fit | Sizes | Values |',
    '| --- | --- | ---: | ---: | ---: | --- | --- |',
    ...slopes.map(renderSlope),
    '',
  ].join('\n');
}

function renderRows(rows: CapacityRow[]): string[] {
  return [
    '| Role | What | Carried by | Formula | Today | Target | Budget | Fits |',
    '| --- | --- | --- | --- | ---: | ---: | ---: | --- |',
    ...rows.map(
      (row) =>
        `| ${row.role} | ${row.quantity} | ${row.mechanism} | ${row.formula} | ${format(row.valueAtCurrentSize)} ${row.unit} | ${format(row.valueAtTargetSize)} ${row.unit} | ${row.budget === undefined ? '' : `${format(row.budget)} ${row.unit}`} | ${describeBudget(row)} |`,
    ),
  ];
}

function renderRowsOverBudget(rows: CapacityRow[]): string[] {
  const overBudgetRatio = ({ valueAtTargetSize, budget }: CapacityRow): number =>
    valueAtTargetSize / (budget ?? valueAtTargetSize);
  return [...rows]
    .sort((a, b) => overBudgetRatio(b) - overBudgetRatio(a))
    .map(
      (row, index) =>
        `${index + 1}. **${row.quantity}** (${row.role}): ${format(row.valueAtTargetSize)} ${row.unit} against ${format(row.budget ?? 0)}, ${format(overBudgetRatio(row))} times too much. ${row.remedy ?? ''}`,
    );
}

function describeBudget({ isWithinBudget, valueAtTargetSize, budget }: CapacityRow): string {
  if (isWithinBudget === undefined || budget === undefined) {
    return '';
  }
  return isWithinBudget
    ? `yes, ${format(budget / Math.max(valueAtTargetSize, 1e-9))} times`
    : '**no**';
}

function renderFailures(rows: FailureRow[]): string[] {
  return [
    '| Failure | Generations that break | Computed again | Until the survivors have done it | What keeps it from spreading |',
    '| --- | ---: | ---: | ---: | --- |',
    ...rows.map(
      (row) =>
        `| ${row.failure} | ${format(row.brokenStreams)} | ${format(row.recomputedTokens)} tokens | ${format(row.recoverySeconds)} s | ${row.containment} |`,
    ),
  ];
}

function renderSlope(slope: Slope): string {
  const { name, per, unit, intercept, fit, sizes, values } = slope;
  const join = (numbers: number[]): string => numbers.join(', ');
  return `| ${name} | ${per} | ${slope.slope} ${unit} | ${intercept} ${unit} | ${fit} | ${join(sizes)} | ${join(values)} |`;
}

function format(value: number): string {
  if (value >= 1_000) {
    return Math.round(value).toLocaleString('en-US');
  }
  return String(Number(value.toPrecision(3)));
}
