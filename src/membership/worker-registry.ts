import type { Clock } from "../common/clock.js";
import { asRec, text, whole, type Rec } from "../common/decode.js";
import { parseSpan } from "../common/duration.js";
import { WORKER_PREFIX, type Board, type NewFact } from "./update-store.js";

export type WorkerState = "ready" | "missing" | "draining" | "gone";

/** Later states of one call count win over earlier ones; a gone worker stays gone. */
const RANK: Readonly<Record<WorkerState, number>> = { ready: 0, missing: 1, draining: 2, gone: 3 };
const RANKS = 4;

export interface Beat {
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

export const readBeat = (id: string, value: unknown): Beat => {
  const rec = asRec(value, "the beat");
  return {
    id,
    service: text(rec, "service"),
    address: text(rec, "address"),
    cell: text(rec, "cell"),
    version: typeof rec["version"] === "string" ? rec["version"] : "",
    capacity: whole(rec, "capacity"),
    state: stateOf(text(rec, "state")),
    warmUs:
      typeof rec["warmUs"] === "number" ? rec["warmUs"] : parseSpan(rec["warmLeft"]).unwrapOr(0),
    callCount: whole(rec, "callCount"),
  };
};

export const readSharedBeat = (value: unknown): Beat => {
  const rec = asRec(value, "the beat");
  return readBeat(text(rec, "id"), rec);
};

interface Entry {
  beat: Beat;
  heardUs: number;
}

const factOf = (beat: Beat): NewFact => ({
  key: WORKER_PREFIX + beat.id,
  version: beat.callCount * RANKS + RANK[beat.state],
  tie: "",
  body: {
    service: beat.service,
    address: beat.address,
    cell: beat.cell,
    capacity: beat.capacity,
    state: beat.state,
    warmUs: beat.warmUs,
    release: beat.version,
  },
});

const TOMBSTONE_BEATS = 40;
const MISSING_BEATS = 3;

/**
 * The workers as their beats tell them. Only changes become facts; a beat that changes nothing only freshens.
 * Invariant: for one id the call count held never falls, and a worker that is draining or gone never becomes ready.
 */
export class Registry {
  private readonly entries = new Map<string, Entry>();
  /** Since when beats, and what colleagues share of them, have been able to come in. */
  private listeningSinceUs: number;

  constructor(
    private readonly clock: Clock,
    private readonly board: Board,
    private readonly heartbeatUs: number,
  ) {
    this.listeningSinceUs = clock.nowUs();
  }

  /** After a time in which beats could not come in: their lack says nothing, and workers may have come that aren't known here. */
  readonly listenAnew = (): void => {
    this.listeningSinceUs = this.clock.nowUs();
  };

  /** Whether every worker that lives has had time to be heard here. */
  readonly isComplete = (): boolean =>
    this.clock.nowUs() - this.listeningSinceUs > this.heartbeatUs * MISSING_BEATS;

  readonly all = (): readonly Beat[] => [...this.entries.values()].map((entry) => entry.beat);

  readonly get = (id: string): Beat | undefined => this.entries.get(id)?.beat;

  /** Takes up workers known before this start; those that are not heard soon go missing like any other. */
  readonly recall = (beats: readonly Beat[]): void =>
    beats.forEach((beat) => this.take({ ...beat, state: "ready", warmUs: 0 }));

  /**
   * Takes a beat, heard here or shared after `ageUs` elsewhere; false if it is old. One so old that its worker is missing
   * counts as such at once: a colleague that was cut off tells of workers long gone.
   */
  readonly take = (told: Beat, ageUs = 0): boolean => {
    const nowUs = this.clock.nowUs() - ageUs;
    const beat: Beat =
      told.state === "ready" && ageUs > this.heartbeatUs * MISSING_BEATS
        ? { ...told, state: "missing" }
        : told;
    const before = this.entries.get(beat.id);
    if (!before) {
      if (ageUs > this.heartbeatUs * TOMBSTONE_BEATS) return false;
      this.entries.set(beat.id, { beat, heardUs: nowUs });
      this.board.post([factOf(beat)]);
      return true;
    }
    if (before.beat.state === "gone") return false;
    const rises = beat.callCount > before.beat.callCount;
    const sinks =
      beat.callCount === before.beat.callCount && RANK[beat.state] > RANK[before.beat.state];
    if (!rises && !sinks) return false;
    const state =
      before.beat.state === "draining" && beat.state !== "gone" ? "draining" : beat.state;
    const changed =
      state !== before.beat.state ||
      beat.address !== before.beat.address ||
      beat.service !== before.beat.service;
    before.beat = { ...beat, state };
    before.heardUs = Math.max(nowUs, before.heardUs);
    if (changed) this.board.post([factOf(before.beat)]);
    return true;
  };

  readonly leave = (id: string): Beat | undefined => {
    const before = this.entries.get(id);
    if (!before) return undefined;
    const beat: Beat = { ...before.beat, state: "gone", callCount: before.beat.callCount + 1 };
    this.take(beat);
    return beat;
  };

  readonly drop = (id: string): void => {
    const entry = this.entries.get(id);
    if (entry) this.take({ ...entry.beat, state: "gone" });
  };

  readonly packAll = (): readonly Rec[] => {
    const nowUs = this.clock.nowUs();
    return [...this.entries.values()].map(({ beat, heardUs }) => ({
      ...beat,
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
        this.board.forget([WORKER_PREFIX + id]);
      } else if (silentUs > this.heartbeatUs * MISSING_BEATS && entry.beat.state === "ready") {
        entry.beat = { ...entry.beat, state: "missing" };
        this.board.post([factOf(entry.beat)]);
      }
    });
  };
}
