/**
 * What peers said of targets' breakers. One VM's word is not enough: a VM that
 * is cut off from the targets would otherwise close them for everybody.
 */
import type { Millis, TargetId, VmId } from '@limelead/types';

const EVIDENCE_MAX_AGE_MS = 5_000;
const PEERS_NEEDED = 2;

interface PeerWord {
  peer: VmId;
  openUntilMs: Millis;
  saidAtMs: Millis;
}

/** Collects what peers said. */
export default class BreakerEvidence {
  private readonly words = new Map<TargetId, PeerWord[]>();

  /**
   * Takes a peer's word. Gives the time until which the breaker should be open,
   * once two peers agree or one peer agrees with a failure that this VM saw.
   */
  take(target: TargetId, word: PeerWord, hasOwnFailure: boolean): Millis | undefined {
    const others = (this.words.get(target) ?? []).filter(
      ({ peer, saidAtMs }) => peer !== word.peer && word.saidAtMs - saidAtMs <= EVIDENCE_MAX_AGE_MS,
    );
    const words = [...others, word];
    this.words.set(target, words);
    const needed = hasOwnFailure ? 1 : PEERS_NEEDED;
    return words.length >= needed ? word.openUntilMs : undefined;
  }
}
