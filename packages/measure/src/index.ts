/** Named experiments on loopback that compare candidates with a baseline over several seeds. */
export { default as runMeasure } from './run-measure.js';
export { default as runBareRelay } from './bare-relay.js';
export { runFrontDoorChild } from './experiments/front-door.js';
export { default as renderMarkdown } from './render-markdown.js';
export type { Experiment, ExperimentResult, ResultRow } from './experiment.js';
