/**
 * Counts request outcomes for the route reports, and for the canary analysis of weighted routes.
 */
import type { Clock } from "../common/clock.js";
import type { CanaryOutcome } from "../health/canary-counters.js";
import { hasNotRun } from "./delivery-state.js";
import type { RequestContext } from "./request-context.js";
import type { Route } from "./route-table.js";

/**
 * Fraction of the client's time budget after which a disconnect is attributed to the service; an
 * earlier disconnect is attributed to the client.
 */
const ABANDONMENT_FRACTION = 0.8;

/** Dependencies of {@link OutcomeRecorder}. */
export interface OutcomeRecorderOptions {
  readonly clock: Clock;
  readonly countOutcome: (route: string, kind: string, outcome: string) => void;
  readonly countCanaryOutcome: (
    route: Route,
    service: string,
    stratum: string,
    outcome: CanaryOutcome,
  ) => void;
}

/**
 * An unsafe request that may have run counts as `doubled`, because its client may submit it again.
 */
const failureOutcome = (context: RequestContext): CanaryOutcome =>
  !hasNotRun(context.deliveryState) && context.route?.isSafe === false ? "doubled" : "lost";

/** Records the outcome of each request once. */
export class OutcomeRecorder {
  constructor(private readonly options: OutcomeRecorderOptions) {}

  /** Records that a worker's response, or a stored one, is sent to the client. */
  readonly recordResponse = (context: RequestContext, status: number): void => {
    this.count(context, status < 400 ? "served" : String(status));
    const { route } = context;
    if (!isWeighted(route)) return;
    if (status >= 500) this.countCanary(context, route, "lost");
    else {
      const isInTime = this.elapsedUs(context) <= route.latencyTargetUs;
      this.countCanary(context, route, isInTime ? "inTime" : "late");
    }
  };

  /** Records that the gateway responds itself, with the outcome of this name. */
  readonly recordRejection = (context: RequestContext, outcome: string): void => {
    this.count(context, outcome);
    const { route } = context;
    if (!isWeighted(route)) return;
    const isLocalFault = hasNotRun(context.deliveryState) && context.isLocalNetworkSuspected;
    this.countCanary(context, route, isLocalFault ? "own" : failureOutcome(context));
  };

  /**
   * Records that the client disconnected before it was answered. This is attributed to the service
   * if the client had waited for most of its time budget, and otherwise to the client.
   */
  readonly recordAbandoned = (context: RequestContext): void => {
    this.count(context, "caller left");
    const { route } = context;
    const attributableAfterUs = (context.deadlineUs - context.arrivedUs) * ABANDONMENT_FRACTION;
    if (!isWeighted(route) || this.elapsedUs(context) < attributableAfterUs) return;
    this.countCanary(context, route, failureOutcome(context));
  };

  private readonly count = ({ route }: RequestContext, outcome: string): void =>
    this.options.countOutcome(route?.name ?? "none", route?.kind ?? "none", outcome);

  private readonly countCanary = (
    context: RequestContext,
    route: Route,
    outcome: CanaryOutcome,
  ): void => this.options.countCanaryOutcome(route, context.service, context.stratum, outcome);

  private readonly elapsedUs = (context: RequestContext): number =>
    this.options.clock.nowUs() - context.arrivedUs;
}

/**
 * Returns whether the route sends to more than one service, so that their outcomes are compared.
 */
const isWeighted = (route: Route | undefined): route is Route =>
  route !== undefined && route.weightedServices.length > 1;
