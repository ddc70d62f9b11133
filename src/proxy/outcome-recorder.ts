/**
 * Counts how requests end: for the reports of routes, and for the canary analysis of weighted
 * routes.
 */
import type { Clock } from "../common/clock.js";
import type { CanaryOutcome } from "../health/canary-counters.js";
import { hasNotRun } from "./delivery-state.js";
import type { RequestContext } from "./request-context.js";
import type { Route } from "./route-table.js";

/**
 * A client that leaves after this part of its time has waited in vain; one that leaves earlier had
 * its own reason.
 */
const ABANDONMENT_FRACTION = 0.8;

/** What the recorder of outcomes reports to. */
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

/** An unsafe request that may have run may be placed again by its client. */
const failureOutcome = (context: RequestContext): CanaryOutcome =>
  !hasNotRun(context.deliveryState) && context.route?.isSafe === false ? "doubled" : "lost";

/** Records the outcome of each request once. */
export class OutcomeRecorder {
  constructor(private readonly options: OutcomeRecorderOptions) {}

  /** A worker's response, or a stored one, is sent to the client. */
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

  /** The gateway answers itself with the outcome of this name. */
  readonly recordRejection = (context: RequestContext, outcome: string): void => {
    this.count(context, outcome);
    const { route } = context;
    if (!isWeighted(route)) return;
    const isLocalFault = hasNotRun(context.deliveryState) && context.isLocalNetworkSuspected;
    this.countCanary(context, route, isLocalFault ? "own" : failureOutcome(context));
  };

  /**
   * The client went away unanswered: at the end of its patience that is the service's doing, sooner
   * its own.
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

/** Whether the route sends to more than one service, so that their outcomes are compared. */
const isWeighted = (route: Route | undefined): route is Route =>
  route !== undefined && route.weightedServices.length > 1;
