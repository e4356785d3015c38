/** Counts the targets of one service by failure domain. */
import type { ServiceScaling, ServiceTarget } from '@limelead/types';
import type { TargetKind, PresentTargets } from './plan-orders.js';

/** Targets of one failure domain, as listed in the store. */
export interface DomainView {
  plain: PresentTargets;
  spot: PresentTargets;
  /**
   * True while all spot targets of the domain are leaving; no new ones are available for a while.
   */
  isReclaimed: boolean;
}

/** Counts targets by failure domain, kind and readiness. */
export default function createDomainViews(
  targets: readonly ServiceTarget[],
  scaling: ServiceScaling,
): Map<string, DomainView> {
  const views = new Map<string, DomainView>();
  Object.keys(scaling.domainPrices).forEach((name) => views.set(name, createView()));
  for (const target of targets) {
    const view = views.get(target.failureDomain) ?? createView();
    views.set(target.failureDomain, view);
    count(view, target);
  }
  views.forEach((view) => {
    view.isReclaimed = view.spot.leaving > 0 && view.spot.ready === 0;
  });
  return views;
}

function createView(): DomainView {
  const none = (): PresentTargets => ({ ready: 0, leaving: 0 });
  return { plain: none(), spot: none(), isReclaimed: false };
}

function count(view: DomainView, { isSpot, leaving }: ServiceTarget): void {
  const kind: TargetKind = isSpot === true ? 'spot' : 'plain';
  if (leaving) {
    view[kind].leaving += 1;
  } else {
    view[kind].ready += 1;
  }
}
