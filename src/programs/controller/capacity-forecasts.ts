/** Wires the capacity forecaster, which runs on the leader, to the known workers and the nodes. */
import type { LeaderLease } from "../../consensus/leader-lease.js";
import { CapacityForecaster } from "../../health/capacity-forecast.js";
import { FORECAST_SETTINGS } from "../../health/capacity-state.js";
import type { NodeSessions } from "../../membership/node-sessions.js";
import type { WorkerRegistry } from "../../membership/worker-registry.js";
import type { Clock } from "../../common/clock.js";
import { loggerFor } from "../../common/logger.js";
import { PUBLISHED_REGISTER, type PublishedState } from "./published-state.js";

/** Dependencies of {@link createForecaster}. */
export interface CapacityForecastsOptions {
  readonly clock: Clock;
  readonly lease: LeaderLease;
  readonly registry: WorkerRegistry;
  readonly sessions: NodeSessions;
  readonly published: PublishedState;
}

/** Creates the forecaster. A worker is routable while it is ready and not ejected. */
export const createForecaster = (options: CapacityForecastsOptions): CapacityForecaster => {
  const { clock, lease, registry, sessions, published } = options;
  return new CapacityForecaster({
    clock,
    log: loggerFor("capacity-forecast"),
    settings: FORECAST_SETTINGS,
    isLeader: lease.isHolder,
    workers: () => {
      const ejected = new Set(published.ejections().ejections.map(({ worker }) => worker));
      return registry.all().map(({ id, service, zone, capacity, state }) => ({
        id,
        service,
        zone,
        capacity,
        isRoutable: state === "ready" && !ejected.has(id),
      }));
    },
    nodes: () => sessions.clusterSize().gateways,
    published: published.forecasts,
    publish: (forecasts) => published.publish(PUBLISHED_REGISTER.forecasts, forecasts),
  });
};
