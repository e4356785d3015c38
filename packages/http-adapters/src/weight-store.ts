/** HTTP adapter for the store of model weights. */
import { PLATFORM_PATHS, weightsCodec } from '@limelead/outside-protocol';
import type { WeightStore } from '@limelead/ports';
import { pipe } from 'fp-ts/lib/function.js';
import * as TE from 'fp-ts/lib/TaskEither.js';
import type { HttpTransport } from './http-transport.js';

/** Creates a client of the weight store at an address. */
export default function createHttpWeightStore(
  transport: HttpTransport,
  host: string,
  port: number,
): WeightStore {
  return {
    getSizeBytes: (version) =>
      pipe(
        transport.requestJson(
          {
            method: 'POST',
            host,
            port,
            path: PLATFORM_PATHS.weights,
            body: JSON.stringify(version),
          },
          weightsCodec,
        ),
        TE.map(({ bytes }) => bytes),
      ),
  };
}
