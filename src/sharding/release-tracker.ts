/** What the leader knows of ranges that their owners have to release. */
import type { Clock } from "../common/clock.js";
import { coversAll, overlaps, type ShardReport } from "./shard-heartbeat.js";
import type { ReleaseState } from "./shard-planner.js";
import type { ShardRow, ShardTable } from "./shard-table.js";

/** Dependencies of {@link ReleaseTracker}. */
export interface ReleaseTrackerOptions {
  readonly clock: Clock;
  /** Time for which a lease is valid, counted from the sending of the renewing heartbeat. */
  readonly holdUs: number;
}

/** Bounds the difference in rate between the leader's clock and a worker's. */
const CLOCK_RATE_MARGIN = 1.05;

const rowId = (service: string, { from, to, worker, fence }: ShardRow): string =>
  [service, from, to, worker, fence].join("\n");

/**
 * Tracks releases and expiries. Invariant: a row counts as expired no sooner than `holdUs` by the
 * slowest clock after its releasing state was seen committed here. A lease that was renewed later
 * does not exist: controllers renew only what a quorum read begun after the heartbeat shows, and a
 * lease counts from the sending of the heartbeat.
 */
export class ReleaseTracker {
  private readonly seenUs = new Map<string, number>();
  private readonly tokens = new Map<string, string>();

  constructor(private readonly options: ReleaseTrackerOptions) {}

  /** Starts the expiry of the releasing rows of a committed table, and forgets all others. */
  readonly observe = (service: string, table: ShardTable): void => {
    const current = new Set(
      table.filter((row) => row.isReleasing).map((row) => rowId(service, row)),
    );
    [...this.seenUs.keys()]
      .filter((id) => id.startsWith(`${service}\n`) && !current.has(id))
      .forEach((id) => {
        this.seenUs.delete(id);
        this.tokens.delete(id);
      });
    const nowUs = this.options.clock.nowUs();
    current.forEach((id) => {
      if (!this.seenUs.has(id)) this.seenUs.set(id, nowUs);
    });
  };

  /**
   * Records the releasing rows that the report shows to be released. A report from before the
   * worker became the owner is outdated.
   */
  readonly recordReport = (report: ShardReport, table: ShardTable): void =>
    table
      .filter(
        (row) =>
          row.isReleasing &&
          row.worker === report.worker &&
          report.callCount > row.assignedAtCall &&
          coversAll(report.released, row) &&
          !report.holds.some((held) => overlaps(held, row)),
      )
      .forEach((row) => {
        const token = report.released.find((range) => overlaps(range, row))?.handover ?? "";
        this.tokens.set(rowId(report.service, row), token);
      });

  /** Forgets everything, when another controller has become the leader. */
  readonly clear = (): void => {
    this.seenUs.clear();
    this.tokens.clear();
  };

  /** The state of a service's rows for the planner. */
  readonly stateOf = (service: string): ReleaseState => ({
    releasedToken: (row) => this.tokens.get(rowId(service, row)),
    hasExpired: (row) => {
      const seenUs = this.seenUs.get(rowId(service, row));
      const waitUs = this.options.holdUs * CLOCK_RATE_MARGIN;
      return seenUs !== undefined && this.options.clock.nowUs() - seenUs > waitUs;
    },
  });
}
