/** Stand-in for a caller: one attempt of a request on a connection of its own. */
import { request } from 'node:http';

/**
 * Sends a request and resolves when its connection has ended or its answer is whole.
 * @returns status (0 without an answer), whether the answer is whole, and its body
 */
export default function send({ host, port = 8740, method = 'POST', path, headers, body = 'in' }) {
  return new Promise((resolve) => {
    const sentAt = performance.now();
    const finish = (status, isWhole, text, error) =>
      resolve({ status, isWhole, text, error, sentAt, endedAt: performance.now() });
    const sent = request({ host, port, method, path, headers, agent: false }, (response) => {
      let text = '';
      response.on('data', (chunk) => (text += chunk));
      response.on('end', () => finish(response.statusCode, response.complete, text));
      response.on('error', (error) => finish(response.statusCode, false, text, error.code));
    });
    sent.on('error', (error) => finish(0, false, '', error.code));
    sent.end(body);
  });
}

/** Numbers of the events of a stream, in the order of their arrival. */
export function listEvents(text) {
  return [...text.matchAll(/^id: (\d+)$/gm)].map(([, number]) => Number(number));
}
