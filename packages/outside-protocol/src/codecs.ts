/** Codecs of the bodies. Unknown keys are let through, so that the outside systems can grow. */
import * as t from 'io-ts';

const modelVersion = t.type({ model: t.string, adapter: t.string, version: t.string });

/** One line of an engine's stream. */
export const engineMessageCodec = t.union([
  t.type({ kind: t.literal('accepted'), cachedPromptTokens: t.number, promptTokens: t.number }),
  t.type({ kind: t.literal('tokens'), offset: t.number, tokens: t.array(t.string) }),
  t.type({
    kind: t.literal('end'),
    length: t.number,
    reason: t.union([t.literal('stop'), t.literal('length')]),
  }),
]);

/** What an engine says of its load. */
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

/** What an engine says of its prefix cache. */
export const cacheEventsCodec = t.type({
  events: t.array(
    t.type({
      sequence: t.number,
      prefixHash: t.string,
      change: t.union([t.literal('stored'), t.literal('evicted')]),
    }),
  ),
});

/** Answer to a probe. */
export const probeCodec = t.type({ running: t.boolean });

/** Answer to an export of KV cache. */
export const exportKvCodec = t.type({ copy: t.string });

/** A value of the key-value service. */
export const storedValueCodec = t.type({ version: t.number, value: t.string });

/** Answer to a compare-and-swap. */
export const swapOutcomeCodec = t.union([
  t.type({ kind: t.literal('swapped'), version: t.number }),
  t.type({ kind: t.literal('mismatch'), current: storedValueCodec }),
]);

/** Answer to a delete. */
export const deletedCodec = t.type({ deleted: t.boolean });

/** A lease. */
export const leaseCodec = t.type({
  name: t.string,
  holder: t.string,
  epoch: t.number,
  remainingMs: t.number,
});

/** The list of VMs. */
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

/** Size of a version's weights. */
export const weightsCodec = t.type({ bytes: t.number });
