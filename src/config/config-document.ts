/** The configuration as a whole: reference checks, and the document returned to operators. */
import { asRecord, parseJson, type UnknownRecord } from "../common/decode.js";
import { readWeightedServices } from "../common/weighted-split.js";
import type { Register } from "../consensus/register.js";
import type { WriteCheck } from "../consensus/register-writer.js";
import { isCustomerKey, isRouteKey, isServiceKey, LIMITS_KEY, serviceKey } from "./config-keys.js";
import { findSharedKey } from "./customer-keys.js";

const servicesOf = (route: Register): readonly string[] => {
  const then = asRecord(asRecord(asRecord(parseJson(route.body))["rule"])["then"]);
  return readWeightedServices(then).map(({ service }) => service);
};

/**
 * Returns the first service that a route in the change refers to and that exists neither in the
 * change nor in the current configuration.
 */
export const findUnknownService = (
  change: readonly Register[],
  current: (key: string) => Register | undefined,
): string | undefined => {
  const inChange = new Map(
    change
      .filter((register) => isServiceKey(register.key))
      .map((register) => [register.key, register]),
  );
  const isKnown = (name: string): boolean => {
    const key = serviceKey(name);
    const proposed = inChange.get(key);
    const stored = current(key);
    const newest = proposed && (!stored || proposed.version > stored.version) ? proposed : stored;
    return newest !== undefined && !newest.dropped;
  };
  return change
    .filter((register) => isRouteKey(register.key) && !register.dropped)
    .flatMap(servicesOf)
    .find((name) => !isKnown(name));
};

/**
 * Returns a function that says why the change would be invalid, given the registers in force;
 * undefined if it is valid.
 */
export const findProblemOf =
  (change: readonly Register[]): WriteCheck =>
  (inForce) => {
    const unknown = findUnknownService(change, inForce.get);
    if (unknown !== undefined) return `a route names the unknown service ${unknown}`;
    const sharing = findSharedKey(change, inForce.get, inForce.all);
    return sharing && `the customers ${sharing.join(" and ")} would share an API key`;
  };

/** Returns the complete configuration in the format of a change that would create it. */
export const toConfigDocument = (registers: readonly Register[]): UnknownRecord => {
  const live = registers.filter((register) => !register.dropped);
  const limits = live.find((register) => register.key === LIMITS_KEY);
  const groups = live
    .filter((register) => isServiceKey(register.key))
    .map((register) => parseJson(register.body));
  const customers = live
    .filter((register) => isCustomerKey(register.key))
    .map((register) => parseJson(register.body));
  const byHost = new Map<string, unknown[]>();
  live
    .filter((register) => isRouteKey(register.key))
    .forEach((register) => {
      const record = asRecord(parseJson(register.body));
      const host = String(record["host"]);
      byHost.set(host, [...(byHost.get(host) ?? []), record["rule"]]);
    });
  const listeners = [...byHost].map(([host, rules]) => ({ host, rules }));
  return {
    ...(customers.length > 0 ? { customers } : {}),
    ...(limits ? { limits: parseJson(limits.body) } : {}),
    listeners,
    groups,
  };
};
