/** The warm-up of one worker, and this node's share of the requests that it may get meanwhile. */
import type { Clock } from "../common/clock.js";
import type { SenderPlan } from "../membership/warm-up.js";

/** What all workers of a node share. */
export interface WarmUpContext {
  readonly clock: Clock;
  /** The name of this node. */
  readonly node: string;
  /**
   * When this process started. An earlier process of the same node may have sent requests until
   * then.
   */
  readonly startedUs: number;
  /** How the requests to a service's workers are limited during warm-up; undefined if not. */
  readonly limitOf: (service: string) => NodeWarmUpLimit | undefined;
  /** When the last evacuation of a zone ended, if that is not long ago. */
  readonly zoneReturnedUs: (zone: string) => number | undefined;
  readonly counts: WarmUpCounts;
}

/** The limit of a service as a node applies it. */
export interface NodeWarmUpLimit {
  readonly durationUs: number;
  readonly senders: SenderPlan;
}

/** Counts of requests over all workers of a node. */
export interface WarmUpCounts {
  /** Requests sent to workers that warmed up. */
  sent: number;
  /** Requests that were withheld from such workers right before they would have been sent. */
  withheld: number;
}

/**
 * Limits this node's requests to one worker. Invariant: while the worker warms up, only its senders
 * send to it, and at least the interval of the limit passes between two requests of a sender, the
 * last one before the warm-up included.
 */
export class WarmUp {
  /** The announced end of the warm-up. */
  private announcedEndUs = 0;
  /** When this node may send its first request of the announced warm-up. */
  private firstSendUs = 0;
  /** This node's rank among the senders; -1 if it is none. */
  private rank = -1;
  private lastSentUs: number;

  constructor(
    private readonly worker: { readonly service: string; readonly zone: string },
    private readonly context: WarmUpContext,
  ) {
    this.lastSentUs = context.startedUs;
  }

  /**
   * Applies an announcement of the worker's warm-up.
   *
   * @param sinceUs - when it was announced
   * @param leftUs - the rest of the warm-up at that time; 0 if the worker is warm
   * @param senders - the names of the nodes that may send to the worker meanwhile
   */
  readonly announce = (sinceUs: number, leftUs: number, senders: readonly string[]): void => {
    const { node, limitOf } = this.context;
    this.announcedEndUs = sinceUs + leftUs;
    this.rank = senders.indexOf(node);
    const intervalUs = limitOf(this.worker.service)?.senders.intervalUs ?? 0;
    // The senders take turns, so that their requests don't meet at the worker.
    const turnUs = intervalUs / Math.max(1, senders.length);
    this.firstSendUs = sinceUs + Math.round(Math.max(0, this.rank) * turnUs);
  };

  /** When the warm-up ends, in microseconds of the local clock; in the past if the worker is warm. */
  readonly endUs = (): number => {
    const { limitOf, zoneReturnedUs } = this.context;
    const returnedUs = zoneReturnedUs(this.worker.zone);
    if (returnedUs === undefined) return this.announcedEndUs;
    const durationUs = limitOf(this.worker.service)?.durationUs ?? 0;
    return Math.max(this.announcedEndUs, returnedUs + durationUs);
  };

  /** Whether the worker warms up. */
  readonly isActive = (): boolean => this.context.clock.nowUs() < this.endUs();

  /** Whether the worker warms up and its service has a limit for that time. */
  readonly isLimited = (): boolean =>
    this.isActive() && this.context.limitOf(this.worker.service) !== undefined;

  /** Whether this node is a sender of the warm-up that is under way. */
  readonly isSender = (): boolean => {
    if (this.rank < 0) return false;
    // The senders of a warm-up that had ended before the zone returned no longer count.
    const returnedUs = this.context.zoneReturnedUs(this.worker.zone);
    return returnedUs === undefined || this.announcedEndUs > returnedUs;
  };

  /** Whether a request may be sent to the worker now. */
  readonly maySend = (): boolean => {
    if (!this.isActive()) return true;
    const limit = this.context.limitOf(this.worker.service);
    if (!limit) return true;
    const nextUs = Math.max(this.firstSendUs, this.lastSentUs + limit.senders.intervalUs);
    return this.isSender() && this.context.clock.nowUs() >= nextUs;
  };

  /**
   * Called right before a request is sent. Returns false if it must not be sent; otherwise it counts
   * as sent.
   */
  readonly trySend = (): boolean => {
    const { clock, counts } = this.context;
    const maySend = this.maySend();
    if (this.isActive()) counts[maySend ? "sent" : "withheld"] += 1;
    if (maySend) this.lastSentUs = clock.nowUs();
    return maySend;
  };
}
