/** Codecs of the message bodies. Unknown keys are accepted, so that systems can add fields. */
import * as t from 'io-ts';

const modelVersion = t.type({ model: t.string, adapter: t.string, version: t.string });

/** A line of an engine's response stream. */
export const engineMessageCodec = t.union([
  t.type({ kind: t.literal('accepted'), cachedPromptTokens: t.number, promptTokens: t.number }),
  t.type({ kind: t.literal('tokens'), offset: t.number, tokens: t.array(t.string) }),
  t.type({
    kind: t.literal('end'),
    length: t.number,
    reason: t.union([t.literal('stop'), t.literal('length')]),
  }),
]);

/** Load report of an engine. */
export const loadReportCodec = t.type({
  takenAtMs: t.number,
  running: t.number,
  waiting: t.number,
  slots: t.number,
  tokenGapMs: t.number,
  prefillTokensPerSecond: t.number,
  loaded: t.array(modelVersion),
  fence: t.number,
});

/** Changes of an engine's prefix cache. */
export const cacheEventsCodec = t.type({
  events: t.array(
    t.type({
      sequence: t.number,
      prefixHash: t.string,
      change: t.union([t.literal('stored'), t.literal('evicted')]),
    }),
  ),
});

/** Response to a probe; says whether the generation is running. */
export const probeCodec = t.type({ running: t.boolean });

/** Response to an export of a KV cache; `copy` names the exported copy. */
export const exportKvCodec = t.type({ copy: t.string });

/** A value of the key-value service with its version. */
export const storedValueCodec = t.type({ version: t.number, value: t.string });

/** Response to a compare-and-swap. */
export const swapOutcomeCodec = t.union([
  t.type({ kind: t.literal('swapped'), version: t.number }),
  t.type({ kind: t.literal('mismatch'), current: storedValueCodec }),
]);

/** Response to a delete. */
export const deletedCodec = t.type({ deleted: t.boolean });

/** A lease of the key-value service. */
export const leaseCodec = t.type({
  name: t.string,
  holder: t.string,
  epoch: t.number,
  remainingMs: t.number,
});

/** The platform's list of VMs. */
export const vmListCodec = t.type({
  version: t.number,
  vms: t.array(
    t.type({
      id: t.string,
      role: t.union([t.literal('entry'), t.literal('engine'), t.literal('plain')]),
      host: t.string,
      port: t.number,
      failureDomain: t.string,
      leaving: t.boolean,
      services: t.array(t.string),
    }),
  ),
});

/** Size of the weights of a model version. */
export const weightsCodec = t.type({ bytes: t.number });
