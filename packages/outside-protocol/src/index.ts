/** The HTTP protocol of the outside systems: paths, headers, codecs and prompt hashes. */
export * from './codecs.js';
export * from './paths.js';
export { default as hashPromptBlocks } from './hash-prompt-blocks.js';
export { default as countPromptTokens } from './count-prompt-tokens.js';
