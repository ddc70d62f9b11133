import type { Message } from "../transport/connection.js";
import { packRowsReport } from "./reports-codec.js";

/**
 * Cumulative load totals. Invariant: they never decrease within an incarnation, so a duplicate, late
 * or out-of-order report adds nothing.
 */
interface Usage {
  arrived: number;
  rejected: number;
  completed: number;
  busyUs: number;
}

/**
 * Counts the requests that one node receives, rejects and completes, by service and zone of the
 * workers, in memory and without blocking requests. Arrivals and rejections for lack of capacity
 * belong to no worker's zone and are counted under "".
 */
export class LoadCounters {
  private readonly counts = new Map<string, Usage>();
  private readonly changed = new Set<string>();

  constructor(private readonly incarnation: string) {}

  readonly recordArrival = (service: string): void => {
    this.usageFor(service, "").arrived += 1;
  };

  readonly recordRejection = (service: string): void => {
    this.usageFor(service, "").rejected += 1;
  };

  readonly recordCompletion = (service: string, zone: string, tookUs: number): void => {
    const usage = this.usageFor(service, zone);
    usage.completed += 1;
    usage.busyUs += tookUs;
  };

  readonly takeReport = (): Message | undefined => {
    if (this.changed.size === 0) return undefined;
    const rows = [...this.changed].map((key) => {
      const [service = "", zone = ""] = key.split("|");
      const { arrived, rejected, completed, busyUs } = this.counts.get(key) ?? NO_USAGE;
      return [service, zone, arrived, rejected, completed, busyUs];
    });
    this.changed.clear();
    return packRowsReport("usage", this.incarnation, rows);
  };

  private readonly usageFor = (service: string, zone: string): Usage => {
    const key = `${service}|${zone}`;
    const usage = this.counts.get(key) ?? { ...NO_USAGE };
    this.counts.set(key, usage);
    this.changed.add(key);
    return usage;
  };
}

const NO_USAGE: Readonly<Usage> = { arrived: 0, rejected: 0, completed: 0, busyUs: 0 };
