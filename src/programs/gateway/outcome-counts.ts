/** Outcomes of this gateway's requests since it started. */
import type { UnknownRecord } from "../../common/decode.js";

/** Counts of outcomes by route and kind of route. */
export class OutcomeCounts {
  private readonly counts = new Map<string, number>();

  constructor(private readonly zone: string) {}

  /** Counts one request. */
  readonly count = (route: string, kind: string, outcome: string): void => {
    const key = `${route}|${kind}|${this.zone}|${outcome}`;
    this.counts.set(key, (this.counts.get(key) ?? 0) + 1);
  };

  /** One row for each route, kind and outcome, with the field names of the admin API. */
  readonly rows = (): readonly UnknownRecord[] =>
    [...this.counts].map(([key, count]) => {
      const [route, kind, cell, outcome] = key.split("|");
      return { route, kind, cell, outcome, count };
    });
}
