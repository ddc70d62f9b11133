import type { Message } from "../transport/connection.js";
import { packRowsReport } from "./reports-codec.js";

/**
 * Invariant: every figure only rises within an incarnation, so a report that comes twice, late or
 * out of order adds nothing.
 */
interface Usage {
  arrived: number;
  refused: number;
  answered: number;
  busyUs: number;
}

/**
 * What one node sees arriving and being answered, by service and by the zone of the workers: cheap,
 * local, and never waited on. What arrives and what is refused for want of room has no workers'
 * zone, and stands under "".
 */
export class LoadCounters {
  private readonly counts = new Map<string, Usage>();
  private readonly changed = new Set<string>();

  constructor(private readonly incarnation: string) {}

  readonly arrived = (service: string): void => {
    this.of(service, "").arrived += 1;
  };

  readonly refused = (service: string): void => {
    this.of(service, "").refused += 1;
  };

  readonly answered = (service: string, zone: string, tookUs: number): void => {
    const usage = this.of(service, zone);
    usage.answered += 1;
    usage.busyUs += tookUs;
  };

  readonly takeReport = (): Message | undefined => {
    if (this.changed.size === 0) return undefined;
    const rows = [...this.changed].map((key) => {
      const [service = "", zone = ""] = key.split("|");
      const { arrived, refused, answered, busyUs } = this.counts.get(key) ?? NONE;
      return [service, zone, arrived, refused, answered, busyUs];
    });
    this.changed.clear();
    return packRowsReport("usage", this.incarnation, rows);
  };

  private readonly of = (service: string, zone: string): Usage => {
    const key = `${service}|${zone}`;
    const usage = this.counts.get(key) ?? { ...NONE };
    this.counts.set(key, usage);
    this.changed.add(key);
    return usage;
  };
}

const NONE: Readonly<Usage> = { arrived: 0, refused: 0, answered: 0, busyUs: 0 };
