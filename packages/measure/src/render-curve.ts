/** Renders rows as points of an SVG chart: one column against another. */
import type { ExperimentResult } from './experiment.js';
import { median } from './statistics.js';

const WIDTH = 720;
const HEIGHT = 420;
const MARGIN = 60;

/** Returns the SVG with the medians of both columns. */
export default function renderCurve(
  result: ExperimentResult,
  xColumn: string,
  yColumn: string,
): string {
  const points = result.rows.map(({ name, values }) => ({
    name,
    x: median(values[xColumn] ?? []),
    y: median(values[yColumn] ?? []),
  }));
  const createScale = (values: number[], length: number) => {
    const maximum = Math.max(...values, 1);
    return (value: number): number => (value / maximum) * (length - 2 * MARGIN);
  };
  const toX = createScale(
    points.map(({ x }) => x),
    WIDTH,
  );
  const toY = createScale(
    points.map(({ y }) => y),
    HEIGHT,
  );
  const pointElements = points.map(({ name, x, y }) => {
    const [left, top] = [MARGIN + toX(x), HEIGHT - MARGIN - toY(y)];
    return (
      `<circle cx="${left.toFixed(1)}" cy="${top.toFixed(1)}" r="4" fill="#2a6"/>` +
      `<text x="${(left + 7).toFixed(1)}" y="${(top - 5).toFixed(1)}">${name} (${x}, ${y})</text>`
    );
  });
  return [
    `<svg xmlns="http://www.w3.org/2000/svg" viewBox="0 0 ${WIDTH} ${HEIGHT}" font-family="sans-serif" font-size="11">`,
    `<rect width="${WIDTH}" height="${HEIGHT}" fill="white"/>`,
    `<path d="M${MARGIN} ${MARGIN}V${HEIGHT - MARGIN}H${WIDTH - MARGIN}" fill="none" stroke="#444"/>`,
    `<text x="${WIDTH / 2}" y="${HEIGHT - 20}" text-anchor="middle">${xColumn}</text>`,
    `<text x="15" y="${MARGIN - 15}">${yColumn}</text>`,
    ...pointElements,
    '</svg>',
    '',
  ].join('\n');
}
