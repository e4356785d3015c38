/** The caller's library: sends requests, and goes on through another VM when one is lost. */
export { default as createClient, type Client, type ClientOptions } from './client.js';
export type { AnswerEvent, AnswerRequest } from './generate-answer.js';
export { default as readErrorDetail, type ReadError } from './read-error.js';
