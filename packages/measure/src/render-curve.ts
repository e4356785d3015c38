/** Draws rows as points of a curve, as SVG: one column against another. */
import type { ExperimentResult } from './experiment.js';
import { median } from './statistics.js';

const WIDTH = 720;
const HEIGHT = 420;
const MARGIN = 60;

/** Gives the drawing. */
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
  const scaleOf = (values: number[], length: number) => {
    const greatest = Math.max(...values, 1);
    return (value: number): number => (value / greatest) * (length - 2 * MARGIN);
  };
  const toX = scaleOf(
    points.map(({ x }) => x),
    WIDTH,
  );
  const toY = scaleOf(
    points.map(({ y }) => y),
    HEIGHT,
  );
  const marks = points.map(({ name, x, y }) => {
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
    ...marks,
    '</svg>',
    '',
  ].join('\n');
}
