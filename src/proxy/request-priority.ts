/** The order in which waiting requests proceed. */
import type { Customer } from "./customer-directory.js";
import type { Route } from "./route-table.js";

/** What the priority of a request depends on. */
export interface PrioritizedRequest {
  readonly customer: Pick<Customer, "rank"> | undefined;
  readonly route: Pick<Route, "priority"> | undefined;
}

/** Above the highest rank of a route that has an effect. */
const ROUTE_RANKS = 1_024;
/** Above the highest rank of a customer that has an effect; the rank of requests without one. */
const CUSTOMER_RANKS = 1_024;

/** Returns the priority of a routed request: by rank of its customer, then of its route; 0 is first. */
export const priorityOf = ({ customer, route }: PrioritizedRequest): number => {
  const customerRank = Math.min(customer?.rank ?? CUSTOMER_RANKS, CUSTOMER_RANKS);
  const routeRank = Math.min(route?.priority ?? 0, ROUTE_RANKS - 1);
  return customerRank * ROUTE_RANKS + routeRank;
};
