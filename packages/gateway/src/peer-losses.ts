/** Losses of targets that peers report. */
import { createRateLimitedLog } from '@limelead/decision-log';
import type { PeerLoss } from './create-exchange.js';
import type { FleetComponentContext } from './fleet-component.js';
import type { QuarantineComponent } from './quarantine-component.js';

/** Creates the handler, which logs each loss with what this VM itself knows of the target. */
export default function createPeerLossHandler(
  { clock, directory, log, metrics }: FleetComponentContext,
  quarantine: Pick<QuarantineComponent, 'onTargetDoubted'>,
): (loss: PeerLoss) => void {
  const logLoss = createRateLimitedLog(log, clock, 'peer-loss');
  return ({ target, loss, peer }) => {
    const answeredAtMs = directory.get(target)?.health.lastResponseAtMs ?? 0;
    const answeredAgoMs = answeredAtMs === 0 ? undefined : Math.round(clock.now() - answeredAtMs);
    metrics.count('limelead_peer_losses_total', 1, { loss });
    logLoss({ target, loss, peer, answeredAgoMs });
    directory.onPeerLoss(target, loss);
    quarantine.onTargetDoubted(target);
  };
}
