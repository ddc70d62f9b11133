import type { Clock } from "../common/clock.js";
import type { UnknownRecord } from "../common/decode.js";
import { MILLISECOND_US } from "../common/duration.js";
import type { Heartbeat, WorkerState } from "./cluster.js";
import { packHeartbeat, packWorkerUpdate } from "./messages.js";
import { WORKER_PREFIX, type UpdateStore, type NewUpdate } from "./update-store.js";

/** Among heartbeats with equal call count, the higher rank wins; a gone worker stays gone. */
const STATE_RANK: Readonly<Record<WorkerState, number>> = {
  ready: 0,
  missing: 1,
  draining: 2,
  gone: 3,
};
const STATE_COUNT = 4;

interface Entry {
  heartbeat: Heartbeat;
  lastHeardUs: number;
  /** When the warm-up ends; in the past if the worker is warm. */
  warmUntilUs: number;
}

/** The update that announces a worker, with the rest of its warm-up as of now. */
const updateOf = ({ heartbeat, warmUntilUs }: Entry, nowUs: number): NewUpdate => ({
  key: WORKER_PREFIX + heartbeat.id,
  version: heartbeat.callCount * STATE_COUNT + STATE_RANK[heartbeat.state],
  tie: "",
  body: packWorkerUpdate({ ...heartbeat, warmUs: Math.max(0, warmUntilUs - nowUs) }),
});

const TOMBSTONE_HEARTBEATS = 40;
const MISSING_HEARTBEATS = 3;
/** Heartbeats arrive with varying delay, so the ends of warm-up that they announce vary as well. */
const WARM_UP_END_TOLERANCE_US = 400 * MILLISECOND_US;

/**
 * Tracks workers by their heartbeats. Only changes are posted as updates; a heartbeat without a
 * change only shows that the worker is alive. Invariant: the call count stored for an id never
 * decreases, and a worker that is draining or gone never becomes ready again.
 */
export class WorkerRegistry {
  private readonly entries = new Map<string, Entry>();
  /** Time since which heartbeats, direct or replicated by peers, have been able to arrive. */
  private listeningSinceUs: number;

  constructor(
    private readonly clock: Clock,
    private readonly updates: UpdateStore,
    private readonly heartbeatUs: number,
  ) {
    this.listeningSinceUs = clock.nowUs();
  }

  /**
   * Called after a period in which no heartbeats could arrive: missing heartbeats from that period
   * say nothing about a worker, and there may be new workers that are not known here.
   */
  readonly restartListening = (): void => {
    this.listeningSinceUs = this.clock.nowUs();
  };

  /** Whether every live worker has had time to send a heartbeat here. */
  readonly isComplete = (): boolean =>
    this.clock.nowUs() - this.listeningSinceUs > this.heartbeatUs * MISSING_HEARTBEATS;

  readonly all = (): readonly Heartbeat[] =>
    [...this.entries.values()].map((entry) => entry.heartbeat);

  /** The number of workers whose last heartbeat announced a warm-up that has not ended. */
  get warmingUp(): number {
    const nowUs = this.clock.nowUs();
    return [...this.entries.values()].filter(({ warmUntilUs }) => warmUntilUs > nowUs).length;
  }

  /** The senders of a worker that warms up; empty if it is warm or has none. */
  readonly sendersOf = (id: string): readonly string[] => {
    const entry = this.entries.get(id);
    if (!entry || entry.warmUntilUs <= this.clock.nowUs()) return [];
    return entry.heartbeat.senders ?? [];
  };

  readonly get = (id: string): Heartbeat | undefined => this.entries.get(id)?.heartbeat;

  /**
   * Restores the workers known before a restart. Those that send no heartbeat become missing as
   * usual. How long ago the heartbeats came is not known, so a warm-up counts anew from now.
   */
  readonly restore = (heartbeats: readonly Heartbeat[]): void =>
    heartbeats.forEach((heartbeat) => this.record({ ...heartbeat, state: "ready" }));

  /**
   * Records a heartbeat that was received here, or replicated by a peer with an age of `ageUs`;
   * returns false if it is outdated. A heartbeat so old that its worker counts as missing is
   * recorded as missing right away, because a peer that was partitioned reports workers that are
   * long gone.
   */
  // eslint-disable-next-line complexity -- the order of the comparisons defines the precedence and stays in one place
  readonly record = (received: Heartbeat, ageUs = 0): boolean => {
    const sentUs = this.clock.nowUs() - ageUs;
    const heartbeat: Heartbeat =
      received.state === "ready" && ageUs > this.heartbeatUs * MISSING_HEARTBEATS
        ? { ...received, state: "missing" }
        : received;
    const previous = this.entries.get(heartbeat.id);
    if (!previous) {
      if (ageUs > this.heartbeatUs * TOMBSTONE_HEARTBEATS) return false;
      const warmUntilUs = sentUs + heartbeat.warmUs;
      const entry: Entry = { heartbeat, lastHeardUs: sentUs, warmUntilUs };
      this.entries.set(heartbeat.id, entry);
      this.post(entry);
      return true;
    }
    if (previous.heartbeat.state === "gone") return false;
    const hasHigherCallCount = heartbeat.callCount > previous.heartbeat.callCount;
    const hasHigherRank =
      heartbeat.callCount === previous.heartbeat.callCount &&
      STATE_RANK[heartbeat.state] > STATE_RANK[previous.heartbeat.state];
    if (!hasHigherCallCount && !hasHigherRank) return false;
    const state =
      previous.heartbeat.state === "draining" && heartbeat.state !== "gone"
        ? "draining"
        : heartbeat.state;
    const changed =
      state !== previous.heartbeat.state ||
      heartbeat.address !== previous.heartbeat.address ||
      heartbeat.service !== previous.heartbeat.service ||
      this.changesWarmUp(previous, heartbeat, sentUs + heartbeat.warmUs);
    previous.heartbeat = { ...heartbeat, state };
    previous.lastHeardUs = Math.max(sentUs, previous.lastHeardUs);
    if (changed) {
      previous.warmUntilUs = sentUs + heartbeat.warmUs;
      this.post(previous);
    }
    return true;
  };

  readonly leave = (id: string): Heartbeat | undefined => {
    const previous = this.entries.get(id);
    if (!previous) return undefined;
    const heartbeat: Heartbeat = {
      ...previous.heartbeat,
      state: "gone",
      callCount: previous.heartbeat.callCount + 1,
    };
    this.record(heartbeat);
    return heartbeat;
  };

  readonly markGone = (id: string): void => {
    const entry = this.entries.get(id);
    if (entry) this.record({ ...entry.heartbeat, state: "gone" });
  };

  readonly packAll = (): readonly UnknownRecord[] => {
    const nowUs = this.clock.nowUs();
    return [...this.entries.values()].map(({ heartbeat, lastHeardUs }) => ({
      ...packHeartbeat(heartbeat),
      ageUs: nowUs - lastHeardUs,
    }));
  };

  /**
   * Marks ready workers as missing after `MISSING_HEARTBEATS` intervals without a heartbeat, and
   * removes any worker after `TOMBSTONE_HEARTBEATS` intervals.
   */
  readonly sweep = (): void => {
    const nowUs = this.clock.nowUs();
    this.entries.forEach((entry, id) => {
      const silentUs = nowUs - Math.max(entry.lastHeardUs, this.listeningSinceUs);
      if (silentUs > this.heartbeatUs * TOMBSTONE_HEARTBEATS) {
        this.entries.delete(id);
        this.updates.forget([WORKER_PREFIX + id]);
      } else if (
        silentUs > this.heartbeatUs * MISSING_HEARTBEATS &&
        entry.heartbeat.state === "ready"
      ) {
        entry.heartbeat = { ...entry.heartbeat, state: "missing" };
        this.post(entry);
      }
    });
  };

  private readonly post = (entry: Entry): void =>
    this.updates.post([updateOf(entry, this.clock.nowUs())]);

  /** Whether a heartbeat tells something new about a warm-up that has not ended. */
  private readonly changesWarmUp = (
    { heartbeat: known, warmUntilUs }: Entry,
    received: Heartbeat,
    announcedUs: number,
  ): boolean =>
    Math.max(warmUntilUs, announcedUs) > this.clock.nowUs() &&
    (Math.abs(announcedUs - warmUntilUs) > WARM_UP_END_TOLERANCE_US ||
      (received.senders ?? []).length > (known.senders ?? []).length);
}
