import type { Message } from "../transport/connection.js";
import { packRowsReport } from "./reports-codec.js";
import type { OutcomeKind } from "./sequential-test.js";

/**
 * The outcome of a request as a node reports it. "own" is a failure of the system itself or of this
 * node's links, which is attributed to no service.
 */
export type CanaryOutcome = OutcomeKind | "own";

interface Row {
  readonly route: string;
  readonly version: number;
  readonly service: string;
  readonly stratum: string;
  inTime: number;
  late: number;
  lost: number;
  doubled: number;
  own: number;
}

const MAX_ROWS = 2_000;

/**
 * Outcome counts of one node for split routes. Invariants: counts never decrease within an
 * incarnation; rows exist only for route versions in force, which bounds memory.
 */
export class CanaryCounters {
  private readonly rows = new Map<string, Row>();
  private readonly changed = new Set<string>();

  constructor(private readonly incarnation: string) {}

  readonly count = (
    route: string,
    version: number,
    service: string,
    stratum: string,
    outcome: CanaryOutcome,
  ): void => {
    const key = `${route}\n${version}\n${service}\n${stratum}`;
    const known = this.rows.get(key);
    if (!known && this.rows.size >= MAX_ROWS) return;
    const row = known ?? {
      route,
      version,
      service,
      stratum,
      inTime: 0,
      late: 0,
      lost: 0,
      doubled: 0,
      own: 0,
    };
    row[outcome] += 1;
    this.rows.set(key, row);
    this.changed.add(key);
  };

  /** Drops the rows of route versions that are no longer in force. */
  readonly retain = (isInForce: (route: string, version: number) => boolean): void => {
    this.rows.forEach((row, key) => {
      if (isInForce(row.route, row.version)) return;
      this.rows.delete(key);
      this.changed.delete(key);
    });
  };

  readonly takeReport = (): Message | undefined => {
    if (this.changed.size === 0) return undefined;
    const rows = [...this.changed]
      .flatMap((key) => this.rows.get(key) ?? [])
      .map((row) => [
        row.route,
        row.version,
        row.service,
        row.stratum,
        row.inTime,
        row.late,
        row.lost,
        row.doubled,
        row.own,
      ]);
    this.changed.clear();
    return packRowsReport("rollout", this.incarnation, rows);
  };
}
