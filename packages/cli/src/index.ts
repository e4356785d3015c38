/** The command line of limelead for callers and operators. */
export { default as runLimelead } from './run-limelead.js';
