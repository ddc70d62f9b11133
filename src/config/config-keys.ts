/**
 * Keys of the registers that hold the configuration. They are stored and sent over the wire, and
 * must not change.
 */

const ROUTE_PREFIX = "route/";
const SERVICE_PREFIX = "service/";
const CUSTOMER_PREFIX = "customer/";

/** Key of the limits that apply to every listener. */
export const LIMITS_KEY = "limits";

/** Key of the register by which changes of customers are decided one after another. */
export const CUSTOMERS_SERIALIZATION_KEY = "customers";

/** Returns the register key of a route. */
export const routeKey = (name: string): string => ROUTE_PREFIX + name;

/** Returns the register key of a service. */
export const serviceKey = (name: string): string => SERVICE_PREFIX + name;

/** Returns the register key of a customer. */
export const customerKey = (name: string): string => CUSTOMER_PREFIX + name;

/** Returns the name of a customer by its register key. */
export const customerNameOf = (key: string): string => key.slice(CUSTOMER_PREFIX.length);

/** Whether the key belongs to a customer. */
export const isCustomerKey = (key: string): boolean => key.startsWith(CUSTOMER_PREFIX);

/** Whether the key belongs to a route. */
export const isRouteKey = (key: string): boolean => key.startsWith(ROUTE_PREFIX);

/** Returns the name of a service by its register key. */
export const serviceNameOf = (key: string): string => key.slice(SERVICE_PREFIX.length);

/** Whether the key belongs to a service. */
export const isServiceKey = (key: string): boolean => key.startsWith(SERVICE_PREFIX);

/** Returns the kind of an item by its key: `limits`, or the part before the slash. */
export const itemKind = (key: string): string => key.split("/")[0] ?? "";

/** Counts items by kind, given their keys. */
export const countByKind = (keys: readonly string[]): Readonly<Record<string, number>> => {
  const counts = new Map<string, number>();
  keys.map(itemKind).forEach((kind) => counts.set(kind, (counts.get(kind) ?? 0) + 1));
  return Object.fromEntries(counts);
};

/** Whether the key belongs to any item of the configuration. */
export const isConfigKey = (key: string): boolean =>
  key === LIMITS_KEY || isRouteKey(key) || isServiceKey(key) || isCustomerKey(key);
