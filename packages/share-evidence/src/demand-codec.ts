/**
 * Wire format of the demand of organisations at one VM, an optional field of the heartbeat. Older
 * releases ignore it. See `ServiceDemand`.
 */
import * as t from 'io-ts';

/** A rate or number that is never negative; NaN would spread into all sums. */
const rate = t.refinement(t.number, (value) => value >= 0 && value < Infinity, 'rate');

export const serviceDemandsCodec = t.array(
  t.type({
    service: t.string,
    arrivals: rate,
    served: rate,
    organisations: t.array(t.tuple([t.string, rate])),
  }),
);
