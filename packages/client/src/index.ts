/** Client library: sends requests and continues through another VM if a VM is lost. */
export { default as createClient, type Client, type ClientOptions } from './client.js';
export type { AnswerEvent, AnswerRequest } from './generate-answer.js';
export { default as readErrorDetail, type ErrorInfo } from './read-error-detail.js';
