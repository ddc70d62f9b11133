/** Zones that the operator has evacuated, as announced by updates. */
import { readEvacuationState, type EvacuationState } from "../membership/evacuation.js";
import { EVACUATION_PREFIX, type Update } from "../membership/update-store.js";

interface ZoneState {
  readonly state: EvacuationState;
  readonly sinceUs: number;
}

/** The state of each zone whose evacuation was announced. */
export class ZoneEvacuations {
  private readonly zones = new Map<string, ZoneState>();

  /** Whether nothing may be sent to the workers of the zone. */
  readonly isEvacuated = (zone: string): boolean => this.zones.get(zone)?.state === "evacuated";

  /**
   * When the evacuation of the zone ended, in microseconds of the local clock; undefined if there
   * was none lately. Workers may have turned cold unnoticed before that.
   */
  readonly returnedUs = (zone: string): number | undefined => {
    const known = this.zones.get(zone);
    return known?.state === "returning" ? known.sinceUs : undefined;
  };

  /** Applies an update whose key has `EVACUATION_PREFIX`. */
  readonly applyUpdate = ({ key, body, sinceUs }: Update): void => {
    const zone = key.slice(EVACUATION_PREFIX.length);
    this.zones.set(zone, { state: readEvacuationState(body), sinceUs });
  };
}
