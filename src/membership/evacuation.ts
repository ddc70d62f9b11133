/**
 * Evacuations of zones by the operator: the stored state, which is also the body of the update for
 * nodes. The names are stored and sent, and must not change.
 */
import { DecodeError, readString, type UnknownRecord } from "../common/decode.js";

/**
 * `evacuated`: nothing may be sent to the zone's workers. `returning`: the evacuation has ended, and
 * its workers may have turned cold before. `open`: neither.
 */
export type EvacuationState = "evacuated" | "returning" | "open";

const isEvacuationState = (value: string): value is EvacuationState =>
  value === "evacuated" || value === "returning" || value === "open";

/** Packs the state of a zone. */
export const packEvacuationState = (state: EvacuationState): UnknownRecord => ({ state });

/** @throws DecodeError if the state is missing or unknown */
export const readEvacuationState = (record: UnknownRecord): EvacuationState => {
  const state = readString(record, "state");
  if (!isEvacuationState(state)) throw new DecodeError("state", "evacuated, returning or open");
  return state;
};
