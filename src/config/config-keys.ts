/**
 * Keys of the registers that hold the configuration. They are stored and sent over the wire, and
 * must not change.
 */

const ROUTE_PREFIX = "route/";
const SERVICE_PREFIX = "service/";

/** Key of the limits that apply to every listener. */
export const LIMITS_KEY = "limits";

/** Returns the register key of a route. */
export const routeKey = (name: string): string => ROUTE_PREFIX + name;

/** Returns the register key of a service. */
export const serviceKey = (name: string): string => SERVICE_PREFIX + name;

/** Whether the key belongs to a route. */
export const isRouteKey = (key: string): boolean => key.startsWith(ROUTE_PREFIX);

/** Whether the key belongs to a service. */
export const isServiceKey = (key: string): boolean => key.startsWith(SERVICE_PREFIX);

/** Whether the key belongs to any item of the configuration. */
export const isConfigKey = (key: string): boolean =>
  key === LIMITS_KEY || isRouteKey(key) || isServiceKey(key);
