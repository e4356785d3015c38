/**
 * Wire format of answers to probes. It carries ages instead of times, since VMs share no clock.
 */
import type { PeerProbeAnswer } from '@limelead/track-service-targets';
import type { Millis } from '@limelead/types';
import * as t from 'io-ts';

/**
 * An optional field of the message of lost targets; older releases ignore it. `agoMs` is the time
 * since the probe was sent.
 */
export const probeAnswersCodec = t.array(t.type({ target: t.string, agoMs: t.number }));

type ProbeAnswersMessage = t.TypeOf<typeof probeAnswersCodec>;

export function encodeProbeAnswers(answers: PeerProbeAnswer[], now: Millis): ProbeAnswersMessage {
  return answers.map(({ target, atMs }) => ({ target, agoMs: Math.ceil(now - atMs) }));
}

export function decodeProbeAnswers(message: ProbeAnswersMessage, now: Millis): PeerProbeAnswer[] {
  // A negative age would make an answer count for longer than it may.
  return message.map(({ target, agoMs }) => ({ target, atMs: now - Math.max(0, agoMs) }));
}
