/** Reads and validates the daemon's settings file. */
export { default } from './read-settings.js';
export { settingsCodec, type Settings } from './settings.js';
