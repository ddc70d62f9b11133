import type { Clock } from "../common/clock.js";
import { asRecord, readString, readNumber, type UnknownRecord } from "../common/decode.js";
import { parseDuration } from "../common/duration.js";
import { WORKER_PREFIX, type UpdateStore, type NewUpdate } from "./update-store.js";

export type WorkerState = "ready" | "missing" | "draining" | "gone";

/** Later states of one call count win over earlier ones; a gone worker stays gone. */
const RANK: Readonly<Record<WorkerState, number>> = { ready: 0, missing: 1, draining: 2, gone: 3 };
const RANKS = 4;

export interface Heartbeat {
  readonly id: string;
  readonly service: string;
  readonly address: string;
  readonly cell: string;
  readonly version: string;
  readonly capacity: number;
  readonly state: WorkerState;
  readonly warmUs: number;
  readonly callCount: number;
}

const stateOf = (value: string): WorkerState => {
  if (value === "ready" || value === "missing" || value === "draining" || value === "gone")
    return value;
  return "ready";
};

export const readHeartbeat = (id: string, value: unknown): Heartbeat => {
  const record = asRecord(value, "the beat");
  return {
    id,
    service: readString(record, "service"),
    address: readString(record, "address"),
    cell: readString(record, "cell"),
    version: typeof record["version"] === "string" ? record["version"] : "",
    capacity: readNumber(record, "capacity"),
    state: stateOf(readString(record, "state")),
    warmUs:
      typeof record["warmUs"] === "number"
        ? record["warmUs"]
        : parseDuration(record["warmLeft"]).unwrapOr(0),
    callCount: readNumber(record, "callCount"),
  };
};

export const readSharedHeartbeat = (value: unknown): Heartbeat => {
  const record = asRecord(value, "the beat");
  return readHeartbeat(readString(record, "id"), record);
};

interface Entry {
  beat: Heartbeat;
  heardUs: number;
}

const factOf = (heartbeat: Heartbeat): NewUpdate => ({
  key: WORKER_PREFIX + heartbeat.id,
  version: heartbeat.callCount * RANKS + RANK[heartbeat.state],
  tie: "",
  body: {
    service: heartbeat.service,
    address: heartbeat.address,
    cell: heartbeat.cell,
    capacity: heartbeat.capacity,
    state: heartbeat.state,
    warmUs: heartbeat.warmUs,
    release: heartbeat.version,
  },
});

const TOMBSTONE_BEATS = 40;
const MISSING_BEATS = 3;

/**
 * The workers as their beats tell them. Only changes become facts; a beat that changes nothing only freshens.
 * Invariant: for one id the call count held never falls, and a worker that is draining or gone never becomes ready.
 */
export class WorkerRegistry {
  private readonly entries = new Map<string, Entry>();
  /** Since when beats, and what colleagues share of them, have been able to come in. */
  private listeningSinceUs: number;

  constructor(
    private readonly clock: Clock,
    private readonly updates: UpdateStore,
    private readonly heartbeatUs: number,
  ) {
    this.listeningSinceUs = clock.nowUs();
  }

  /** After a time in which beats could not come in: their lack says nothing, and workers may have come that aren't known here. */
  readonly restartListening = (): void => {
    this.listeningSinceUs = this.clock.nowUs();
  };

  /** Whether every worker that lives has had time to be heard here. */
  readonly isComplete = (): boolean =>
    this.clock.nowUs() - this.listeningSinceUs > this.heartbeatUs * MISSING_BEATS;

  readonly all = (): readonly Heartbeat[] => [...this.entries.values()].map((entry) => entry.beat);

  readonly get = (id: string): Heartbeat | undefined => this.entries.get(id)?.beat;

  /** Takes up workers known before this start; those that are not heard soon go missing like any other. */
  readonly restore = (heartbeats: readonly Heartbeat[]): void =>
    heartbeats.forEach((heartbeat) => this.take({ ...heartbeat, state: "ready", warmUs: 0 }));

  /**
   * Takes a beat, heard here or shared after `ageUs` elsewhere; false if it is old. One so old that its worker is missing
   * counts as such at once: a colleague that was cut off tells of workers long gone.
   */
  readonly take = (told: Heartbeat, ageUs = 0): boolean => {
    const nowUs = this.clock.nowUs() - ageUs;
    const heartbeat: Heartbeat =
      told.state === "ready" && ageUs > this.heartbeatUs * MISSING_BEATS
        ? { ...told, state: "missing" }
        : told;
    const before = this.entries.get(heartbeat.id);
    if (!before) {
      if (ageUs > this.heartbeatUs * TOMBSTONE_BEATS) return false;
      this.entries.set(heartbeat.id, { beat: heartbeat, heardUs: nowUs });
      this.updates.post([factOf(heartbeat)]);
      return true;
    }
    if (before.beat.state === "gone") return false;
    const rises = heartbeat.callCount > before.beat.callCount;
    const sinks =
      heartbeat.callCount === before.beat.callCount &&
      RANK[heartbeat.state] > RANK[before.beat.state];
    if (!rises && !sinks) return false;
    const state =
      before.beat.state === "draining" && heartbeat.state !== "gone" ? "draining" : heartbeat.state;
    const changed =
      state !== before.beat.state ||
      heartbeat.address !== before.beat.address ||
      heartbeat.service !== before.beat.service;
    before.beat = { ...heartbeat, state };
    before.heardUs = Math.max(nowUs, before.heardUs);
    if (changed) this.updates.post([factOf(before.beat)]);
    return true;
  };

  readonly leave = (id: string): Heartbeat | undefined => {
    const before = this.entries.get(id);
    if (!before) return undefined;
    const heartbeat: Heartbeat = {
      ...before.beat,
      state: "gone",
      callCount: before.beat.callCount + 1,
    };
    this.take(heartbeat);
    return heartbeat;
  };

  readonly drop = (id: string): void => {
    const entry = this.entries.get(id);
    if (entry) this.take({ ...entry.beat, state: "gone" });
  };

  readonly packAll = (): readonly UnknownRecord[] => {
    const nowUs = this.clock.nowUs();
    return [...this.entries.values()].map(({ beat: heartbeat, heardUs }) => ({
      ...heartbeat,
      ageUs: nowUs - heardUs,
    }));
  };

  /** Marks those missing that were not heard for some beats, and forgets the long gone. */
  readonly sweep = (): void => {
    const nowUs = this.clock.nowUs();
    this.entries.forEach((entry, id) => {
      const silentUs = nowUs - Math.max(entry.heardUs, this.listeningSinceUs);
      if (silentUs > this.heartbeatUs * TOMBSTONE_BEATS) {
        this.entries.delete(id);
        this.updates.forget([WORKER_PREFIX + id]);
      } else if (silentUs > this.heartbeatUs * MISSING_BEATS && entry.beat.state === "ready") {
        entry.beat = { ...entry.beat, state: "missing" };
        this.updates.post([factOf(entry.beat)]);
      }
    });
  };
}
