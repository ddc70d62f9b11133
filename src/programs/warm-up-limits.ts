/** The limits that a node keeps for workers that warm up. */
import { planSenders, type WarmUpTolerance } from "../membership/warm-up.js";
import type { RouteTable, Service } from "../proxy/route-table.js";
import type { NodeWarmUpLimit } from "../proxy/warm-up.js";

/**
 * Returns a function that looks up a service's limit. It is derived once from each version of the
 * service, since it is looked up for every request to a worker that warms up.
 */
export const warmUpLimits = (
  routes: RouteTable,
  tolerance: WarmUpTolerance,
): ((service: string) => NodeWarmUpLimit | undefined) => {
  const derived = new WeakMap<Service, NodeWarmUpLimit>();
  return (name) => {
    const service = routes.service(name);
    if (!service?.warmUpLimit) return undefined;
    const known = derived.get(service);
    if (known) return known;
    const { durationUs } = service.warmUpLimit;
    const limit = { durationUs, senders: planSenders(service.warmUpLimit, tolerance) };
    derived.set(service, limit);
    return limit;
  };
};
