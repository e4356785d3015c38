/** Targets whose runs fall silent and go on. */
import { beginAnswer, formatPiece, type Behaviour } from './forwarding.fixture.js';

/** The answer of these targets. */
export const WHOLE = [1, 2, 3].map(formatPiece).join('');

/** Writes two pieces, and the last one after the pause. */
export function pauseFor(milliseconds: number): Behaviour {
  return (request, response, { lastPiece }) => {
    beginAnswer(request, response);
    for (let number = lastPiece + 1; number <= 2; number += 1) {
      response.write(formatPiece(number));
    }
    setTimeout(() => response.end(formatPiece(3)), milliseconds);
  };
}
