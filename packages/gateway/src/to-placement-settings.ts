import type { GatewaySettings } from './settings.js';

/** The settings of placement as the platform's file holds them; null where it fills none. */
export interface PlacementFields {
  maxTargetBodyBytes?: number | null;
  placesByMemoryAndPace?: boolean | null;
}

/** Converts the settings of placement; null becomes undefined, for the default. */
export default function toPlacementSettings({
  maxTargetBodyBytes,
  placesByMemoryAndPace,
}: PlacementFields): Pick<GatewaySettings, 'maxTargetBodyBytes' | 'placesByMemoryAndPace'> {
  return {
    maxTargetBodyBytes: maxTargetBodyBytes ?? undefined,
    placesByMemoryAndPace: placesByMemoryAndPace ?? undefined,
  };
}
