/** Descriptions of maintenance windows for operators. */
import type { UnknownRecord } from "../common/decode.js";
import { SECOND_US } from "../common/duration.js";
import type { MaintenanceWindow } from "./maintenance-window.js";

/** A worker that provides slots to a service in a zone. */
export interface ZoneWorker {
  readonly zone: string;
  readonly service: string;
  /** Number of slots. */
  readonly capacity: number;
  readonly isReady: boolean;
}

/** Converts microseconds to whole seconds, rounded. */
export const toSeconds = (us: number): number => Math.round(us / SECOND_US);

/**
 * One warning for each service whose requests in flight exceed what the other zones should carry.
 *
 * @param zone - the zone to be drained
 * @param inFlight - requests in flight in the whole fleet, by service
 * @param maxUtilization - the share of the other zones' slots above which to warn, 0 to 1
 */
export const capacityWarnings = (
  zone: string,
  workers: readonly ZoneWorker[],
  inFlight: ReadonlyMap<string, number>,
  maxUtilization: number,
): readonly string[] => {
  const slots = new Map<string, number>();
  workers
    .filter((worker) => worker.zone !== zone && worker.isReady)
    .forEach(({ service, capacity }) => slots.set(service, (slots.get(service) ?? 0) + capacity));
  return [...inFlight].flatMap(([service, requests]) => {
    const otherSlots = slots.get(service) ?? 0;
    if (requests <= otherSlots * maxUtilization) return [];
    return [
      `${service} has ${requests.toFixed(1)} calls in flight, and the other cells have ${otherSlots} slots.`,
    ];
  });
};

/** A window in the form returned to operators. Field names are part of the API. */
export const explainWindow = (
  window: MaintenanceWindow,
  warnings: (zone: string) => readonly string[],
): UnknownRecord => {
  const { id, zone, stage, remainingUs, durationUs, safeShare, unsafeShare, note } = window;
  return {
    id,
    cell: zone,
    stage,
    [stage === "open" ? "closesInS" : "opensInS"]: Math.max(0, toSeconds(remainingUs)),
    lastsS: toSeconds(durationUs),
    safeMoved: safeShare,
    unsafeMoved: unsafeShare,
    note,
    warnings: stage === "ended" || stage === "returning" ? [] : warnings(zone),
  };
};
