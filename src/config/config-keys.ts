/**
 * The keys of the registers that hold the configuration. They are stored and sent, and never
 * change.
 */

const ROUTE_PREFIX = "route/";
const SERVICE_PREFIX = "service/";

/** The key of the limits that hold for every listener. */
export const LIMITS_KEY = "limits";

/** The key of a route. */
export const routeKey = (name: string): string => ROUTE_PREFIX + name;

/** The key of a service. */
export const serviceKey = (name: string): string => SERVICE_PREFIX + name;

/** Whether a key is that of a route. */
export const isRouteKey = (key: string): boolean => key.startsWith(ROUTE_PREFIX);

/** Whether a key is that of a service. */
export const isServiceKey = (key: string): boolean => key.startsWith(SERVICE_PREFIX);

/** Whether a key is that of any item of the configuration. */
export const isConfigKey = (key: string): boolean =>
  key === LIMITS_KEY || isRouteKey(key) || isServiceKey(key);
