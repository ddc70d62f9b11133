/** A worker of a sharded service: runs requests only for keys that it was granted by heartbeats. */
import { asList, asNumber, asRecord, asString, parseJson } from "../../src/common/decode.js";
import { parseDuration } from "../../src/common/duration.js";
import type { ManualClock } from "./manual-clock.js";
import { StubWorker } from "./stub-worker.js";

/** A granted range of keys, both ends included. */
export interface HeldRange {
  readonly from: number;
  readonly to: number;
  readonly fence: number;
  readonly handover: string;
}

/** Ratio of a worker's clock to true time: the slowest that is allowed. */
const SLOWEST_CLOCK = 0.98;

const isSame = (one: HeldRange, other: HeldRange): boolean =>
  one.from === other.from && one.to === other.to && one.fence === other.fence;

/** Adds the worker's part of the granting protocol to a stub worker. */
export class ShardedWorker extends StubWorker {
  holds: readonly HeldRange[] = [];
  state = "ready";
  private released: readonly (readonly [number, number, string])[] = [];
  private expiresUs = 0;
  private callCount = 0;

  constructor(
    id: string,
    private readonly clock: ManualClock,
  ) {
    super(id);
    this.mayRun = (head) => this.holdsKey(Number(/^yewreel-shard-key: (\d+)/im.exec(head)?.[1]));
  }

  /** Whether the worker may begin a request for the key now. */
  readonly holdsKey = (key: number): boolean =>
    this.clock.nowUs() < this.expiresUs &&
    this.holds.some(({ from, to }) => from <= key && key <= to);

  /** The granted range of the key; undefined if the worker does not hold it. */
  readonly rangeOf = (key: number): HeldRange | undefined =>
    this.holdsKey(key) ? this.holds.find(({ from, to }) => from <= key && key <= to) : undefined;

  /** The next heartbeat, to be followed by `applyAnswer` with the time at which it was sent. */
  readonly nextHeartbeat = (service: string): string => {
    this.callCount += 1;
    this.dropExpired();
    return JSON.stringify({
      service,
      address: this.address,
      cell: "c1",
      version: "v1",
      capacity: 3,
      state: this.state,
      warmLeft: "0ms",
      callCount: this.callCount,
      holds: this.holds.map(({ from, to, fence }) => [from, to, fence]),
      released: this.released,
    });
  };

  /** Applies the answer to a heartbeat: what it leaves out is let go, the rest is held from then. */
  readonly applyAnswer = (body: string, sentUs: number): void => {
    this.released = [];
    const answer = asRecord(parseJson(body));
    if (answer["holds"] === undefined) return;
    const granted = asList(answer["holds"]).map((value): HeldRange => {
      const [from, to, fence, handover] = asList(value);
      return {
        from: asNumber(from),
        to: asNumber(to),
        fence: asNumber(fence),
        handover: asString(handover),
      };
    });
    this.released = this.holds
      .filter((held) => !granted.some((row) => isSame(row, held)))
      .map(({ from, to }) => [from, to, `${this.id}/${from}`] as const);
    this.holds = granted;
    this.expiresUs = sentUs + parseDuration(answer["hold"]).unwrapOr(0) / SLOWEST_CLOCK;
  };

  private readonly dropExpired = (): void => {
    if (this.clock.nowUs() >= this.expiresUs) this.holds = [];
  };
}
