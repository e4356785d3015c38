/** What is there of one service, failure domain by failure domain. */
import type { ServiceScaling, ServiceTarget } from '@limelead/types';
import type { TargetKind, PresentTargets } from './plan-orders.js';

/** One failure domain as the store tells it. */
export interface DomainView {
  plain: PresentTargets;
  spot: PresentTargets;
  /** All spot targets of the domain leave: none is to be had there for a while. */
  isReclaimed: boolean;
}

/** Looks at every target once. */
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
