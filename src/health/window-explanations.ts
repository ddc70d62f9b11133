/** What operators are told of maintenance windows. */
import type { UnknownRecord } from "../common/decode.js";
import { SECOND_US } from "../common/duration.js";
import type { MaintenanceWindow } from "./maintenance-window.js";

/** A worker whose slots count. */
export interface ZoneWorker {
  readonly zone: string;
  readonly service: string;
  /** Slots. */
  readonly capacity: number;
  readonly isReady: boolean;
}

/** Whole seconds. */
export const toSeconds = (us: number): number => Math.round(us / SECOND_US);

/**
 * A sentence for each service whose requests in flight are more than the other zones should carry.
 *
 * @param inFlight - requests in flight in the whole fleet, by service
 * @param maxUtilization - the share of slots beyond which to warn
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
    const others = slots.get(service) ?? 0;
    if (requests <= others * maxUtilization) return [];
    return [
      `${service} has ${requests.toFixed(1)} calls in flight, and the other cells have ${others} slots.`,
    ];
  });
};

/** A window as the operator's query answers it; the names of the fields stay. */
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
