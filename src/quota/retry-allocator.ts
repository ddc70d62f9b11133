import type { Clock } from "../common/clock.js";
import { toRouteKind, findLimit, USED_FRACTION, type RetryLimits } from "./retry-limits.js";
import { asList, readList, asNumber, readString, asString } from "../common/decode.js";
import { SECOND_US } from "../common/duration.js";
import type { Message } from "../transport/connection.js";
import { LeaseAllocator } from "./lease-allocator.js";

export const RETRY_LEASE_US = 3 * SECOND_US;
/** No node gets more of a slack than this part of it, so that the first to ask don't take it all. */
const MOST_PART = 1 / 8;

export interface RetryAllocatorOptions {
  readonly clock: Clock;
  readonly windowUs: number;
  /** Whether this signalbox holds the duty, and a majority is in reach. */
  readonly isLeader: () => boolean;
  readonly limits: () => RetryLimits;
}

/**
 * The duty's holder leases the slack of each service and kind to the nodes that are short of retries.
 * Invariant: for any window, the tokens of all leases under which something was sent in it add up to at most the slack:
 * a lease's tokens are given anew only a whole window after its end.
 */
export class RetryAllocator {
  private readonly offices = new Map<string, LeaseAllocator>();
  private sinceUs: number | undefined;

  constructor(private readonly options: RetryAllocatorOptions) {}

  /** Called every second or so: a new holder's wait begins when it takes the duty, not when it is first asked. */
  readonly refresh = (): void => {
    if (!this.options.isLeader()) {
      this.offices.clear();
      this.sinceUs = undefined;
      return;
    }
    this.sinceUs ??= this.options.clock.nowUs();
    this.offices.forEach((allocator, key) => {
      if (allocator.isIdle) this.offices.delete(key);
    });
  };

  readonly handleRequest = (message: Message): Message => {
    this.refresh();
    if (this.sinceUs === undefined) return { kind: "retries" };
    const life = readString(message, "life");
    const limits = this.options.limits();
    const rows = readList(message, "wants", (value) => {
      const [service, kind, wanted, held] = asList(value, "want");
      return [
        asString(service),
        asString(kind),
        this.give(
          limits,
          life,
          asString(service),
          asString(kind),
          asNumber(wanted),
          asNumber(held),
        ),
      ];
    });
    return { kind: "retries", rows, lastsUs: RETRY_LEASE_US };
  };

  private readonly give = (
    limits: RetryLimits,
    life: string,
    service: string,
    kind: string,
    wanted: number,
    held: number,
  ): number => {
    const { clock, windowUs } = this.options;
    const whole = findLimit(limits, service, toRouteKind(kind)).slack * USED_FRACTION;
    const key = `${service}|${kind}`;
    const allocator =
      this.offices.get(key) ??
      new LeaseAllocator(clock, { durationUs: RETRY_LEASE_US, graceUs: windowUs }, this.sinceUs);
    this.offices.set(key, allocator);
    return allocator.allocate(life, Math.min(wanted, Math.max(1, whole * MOST_PART)), held, whole);
  };
}
